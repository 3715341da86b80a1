package burlarch.lab.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.audit.Asked;
import burlarch.audit.MemorySink;
import burlarch.audit.Sink;
import burlarch.settings.SettingsException;
import burlarch.settings.SettingsFile;
import burlarch.standins.fleet.FleetPlan;
import burlarch.trace.TraceException;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The generator beside servers that stall, die and misbehave: what it counts is what arithmetic says. */
@Timeout(180)
class GeneratorTest {
    private static final String FLEET =
            """
            [[kind]]
            name = "fast"
            [[nodes]]
            kind = "fast"
            count = 1
            [[class]]
            name = "read"
            deadline_ms = 20000
            """;

    @TempDir
    Path folder;

    private static LoadPlan plan(String text) throws SettingsException {
        SettingsFile file = SettingsFile.parse("load.toml", FLEET + text);
        LoadPlan plan = LoadPlan.read(file, FleetPlan.read(file));
        file.rejectUnreadKeys();
        return plan;
    }

    private static LoadPlan even(int rate, double seconds, int connections) throws SettingsException {
        return plan("[load]\narrivals = \"even\"\nseconds = " + seconds + "\nconnections = " + connections
                + "\nlag_p99_ms_most = 100\n[[shape]]\nkind = \"constant\"\nrate = " + rate);
    }

    private static Generator start(LoadPlan plan, InetSocketAddress at, Sink sink) throws IOException {
        return Generator.start(plan, List.of(new Generator.Target("n0", at)), sink);
    }

    private static LoadResult end(Generator generator) throws InterruptedException {
        assertTrue(generator.await(120, TimeUnit.SECONDS), "the run does not end");
        LoadResult result = generator.result();
        generator.close();
        return result;
    }

    @Test
    void aStallShowsAsTheWallOfLateRequestsThatTheSchedulePredicts() throws Exception {
        LoadPlan plan = even(1000, 3, 16);
        long[] due = Schedule.of(plan.shape(), plan.seconds(), false, plan.seed());
        try (NullServer server = new NullServer(1);
                Generator generator = start(plan, server.address(), Sink.NONE)) {
            while (generator.result().served() < 200) {
                Thread.sleep(1);
            }
            Future<long[]> stall = server.stall(2000);
            LoadResult result = end(generator);
            long from = stall.get()[0] - generator.startNanos();
            long to = stall.get()[1] - generator.startNanos();
            // None that was due while the server stalled can be answered before the end of the stall.
            long overOneSecond = Arrays.stream(due)
                    .filter(t -> t >= from && t <= to - 1_010_000_000L)
                    .count();
            long overHalf = Arrays.stream(due)
                    .filter(t -> t >= from && t <= to - 510_000_000L)
                    .count();
            assertTrue(overOneSecond > 900 && overHalf > 1400, overOneSecond + " " + overHalf);
            assertEquals(due.length, result.served(), result.line());
            assertTrue(result.servedOver(1000) >= overOneSecond, result.servedOver(1000) + " " + overOneSecond);
            assertTrue(result.servedOver(500) >= overHalf, result.servedOver(500) + " " + overHalf);
            // The percentile follows: so many of all were late, where a closed loop would have 16 late ones.
            assertTrue(result.servedMs(100.0 - 100.0 * overOneSecond / due.length) >= 990, result.line());
            assertTrue(result.servedMs(100) >= (to - from) / 1e6 - 20, result.line());
        }
    }

    @Test
    void connectionsThatAreOpenedFirstStandOpenAllTheTime() throws Exception {
        LoadPlan plan = plan("[load]\narrivals = \"even\"\nseconds = 0.2\n"
                + "connections = 100\nopen_first = 60\n"
                + "lag_p99_ms_most = 1000\n[[shape]]\nkind = \"constant\"\nrate = 50");
        try (ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"))) {
            java.util.concurrent.atomic.AtomicInteger accepted = new java.util.concurrent.atomic.AtomicInteger();
            List<Socket> held = new java.util.concurrent.CopyOnWriteArrayList<>();
            Thread accepts = new Thread(() -> {
                while (!server.isClosed()) {
                    try {
                        held.add(server.accept());
                        accepted.incrementAndGet();
                    } catch (IOException e) {
                        return;
                    }
                }
            });
            accepts.start();
            Generator generator = start(plan, (InetSocketAddress) server.getLocalSocketAddress(), Sink.NONE);
            while (accepted.get() < 60) {
                Thread.sleep(1);
            }
            for (Socket socket : held) {
                socket.close();
            }
            generator.stop();
            generator.close();
            server.close();
            accepts.join();
        }
    }

    @Test
    void aTlsPortIsLoadedAndOneOfAnotherAuthorityIsNot() throws Exception {
        X509Bundle server = certificate();
        Path trusted = Files.writeString(folder.resolve("ca.pem"), server.getCertificatePathPEM());
        Path other =
                Files.writeString(folder.resolve("other.pem"), certificate().getCertificatePathPEM());
        SslContext tls = SslContextBuilder.forServer(server.getKeyPair().getPrivate(), server.getCertificatePath())
                .build();
        try (NullServer listens = new NullServer(1, 0, tls)) {
            String load = "[load]\narrivals = \"even\"\nseconds = 0.5\nlag_p99_ms_most = 1000\n"
                    + "[[shape]]\nkind = \"constant\"\nrate = 100\n[client_tls]\non = true\nca_file = \"";
            LoadResult result = end(start(plan(load + trusted + "\""), listens.address(), Sink.NONE));
            assertEquals(50, result.served(), result.line());
            LoadResult refused = end(start(plan(load + other + "\""), listens.address(), Sink.NONE));
            assertEquals(50, refused.unsent(), refused.line());
        }
    }

    private static X509Bundle certificate() throws Exception {
        return new CertificateBuilder()
                .subject("CN=localhost")
                .setIsCertificateAuthority(true)
                .addSanIpAddress("127.0.0.1")
                .buildSelfSigned();
    }

    @Test
    void aServerThatDiesMidRunLeavesNothingUncounted() throws Exception {
        LoadPlan plan = even(500, 1.5, 50);
        try (NullServer server = new NullServer(1)) {
            Generator generator = start(plan, server.address(), Sink.NONE);
            while (generator.result().served() < 100) {
                Thread.sleep(1);
            }
            server.close();
            LoadResult result = end(generator);
            assertEquals(750, result.ended());
            assertTrue(result.served() >= 100 && result.unsent() > 0, result.line());
        }
    }

    @Test
    void aGeneratorShortOfCpuSaysThatItsFiguresAreNot() throws Exception {
        LoadPlan plan = even(500, 1, 50);
        try (NullServer server = new NullServer(1)) {
            Generator generator = start(plan, server.address(), Sink.NONE);
            generator.loop(0).execute(() -> {
                try {
                    Thread.sleep(600);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            LoadResult result = end(generator);
            assertFalse(result.valid(), result.line());
            assertTrue(result.lagMs(99) > 400, result.line());
        }
    }

    @Test
    void aClockThatStepsMakesTheRunInvalid() throws Exception {
        LoadPlan plan = even(500, 2, 50);
        long began = System.nanoTime();
        try (NullServer server = new NullServer(1)) {
            Generator generator =
                    Generator.start(plan, List.of(new Generator.Target("n0", server.address())), Sink.NONE, () -> {
                        long nanos = System.nanoTime();
                        return nanos - began > 300_000_000L ? nanos + 1_000_000_000L : nanos;
                    });
            LoadResult result = end(generator);
            assertEquals(1000, result.ended());
            assertFalse(result.valid(), result.line());
        }
    }

    @Test
    void aSecondAnswerIsWrittenDown() throws Exception {
        MemorySink sink = new MemorySink(100);
        try (ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"))) {
            Thread answers = answering(
                    server,
                    200,
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                    false);
            Generator generator = start(even(10, 0.5, 1), (InetSocketAddress) server.getLocalSocketAddress(), sink);
            end(generator);
            server.close();
            answers.join();
        }
        assertTrue(sink.records().asked().stream().anyMatch(a -> a.answers() == 2));
    }

    @Test
    void aRequestThatCrossesTheCloseOfAKeptConnectionIsSentOnceMore() throws Exception {
        MemorySink sink = new MemorySink(100);
        try (ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"))) {
            // Each connection is good for one answer: the next request on it finds it closed.
            Thread answers = answering(server, 200, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true);
            Generator generator = start(even(10, 1, 1), (InetSocketAddress) server.getLocalSocketAddress(), sink);
            LoadResult result = end(generator);
            server.close();
            answers.join();
            assertEquals(10, result.served(), result.line());
        }
    }

    @Test
    void aRequestThatCrossedTheCloseOfAProxyThatIsGoneIsWrittenDown() throws Exception {
        MemorySink sink = new MemorySink(100);
        ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
        InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
        Thread once = new Thread(() -> {
            try (Socket socket = server.accept()) {
                readHead(socket.getInputStream());
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                readHead(socket.getInputStream());
                server.close();
            } catch (IOException e) {
                // The records below say that it did not go as it should.
            }
        });
        once.start();
        end(start(even(10, 0.5, 1), address, sink));
        once.join();
        assertEquals(
                List.of(Asked.End.SERVED, Asked.End.CROSSED),
                sink.records().asked().stream().map(Asked::end).toList());
    }

    /** Answers each request that it reads; after the first of a connection it reads the next and closes. */
    private static Thread answering(ServerSocket server, int most, String answer, boolean once) {
        Thread thread = new Thread(() -> {
            for (int i = 0; i < most; i++) {
                try (Socket socket = server.accept()) {
                    InputStream in = socket.getInputStream();
                    for (int n = 0; ; n++) {
                        if (!readHead(in) || once && n == 1) {
                            break;
                        }
                        socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                    }
                } catch (IOException e) {
                    if (server.isClosed()) {
                        return;
                    }
                }
            }
        });
        thread.start();
        return thread;
    }

    private static boolean readHead(InputStream in) throws IOException {
        int matched = 0;
        for (int b = in.read(); b >= 0; b = in.read()) {
            matched = b == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : b == '\r' ? 1 : 0;
            if (matched == 4) {
                return true;
            }
        }
        return false;
    }

    @Test
    void aRecordedPlanIsReplayedWithItsGaps() throws Exception {
        Path trace = folder.resolve("plan.trace");
        LoadPlan plan =
                plan("[load]\nseconds = 2\nseed = 9\n" + "[[shape]]\nkind = \"rush\"\npeak = 400\nrise_s = 0.5");
        Generator.record(plan, trace);
        LoadPlan replay = plan("[load]\nseconds = 60\nreplay = \"" + trace + "\"");
        RequestSource recorded = RequestSource.of(plan);
        RequestSource replayed = RequestSource.of(replay);
        assertEquals(recorded.count(), replayed.count());
        for (int i = 0; i < recorded.count(); i++) {
            assertEquals(recorded.dueNanos(i), replayed.dueNanos(i));
            assertEquals(recorded.request(i).key(), replayed.request(i).key());
        }
        byte[] whole = Files.readAllBytes(trace);
        Files.write(trace, Arrays.copyOf(whole, whole.length - 20));
        assertThrows(TraceException.class, () -> RequestSource.of(replay));
    }

    @Test
    void clientsLeaveRetryAndAreWrittenDown() throws Exception {
        MemorySink sink = new MemorySink(10_000);
        LoadPlan plan = plan("[load]\narrivals = \"even\"\nseconds = 1\nlag_p99_ms_most = 1000\n"
                + "[clients]\nretry_share = 1\nbackoff_ms = 5\n[[shape]]\nkind = \"constant\"\nrate = 100");
        try (ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"))) {
            Thread answers = answering(
                    server,
                    1000,
                    "HTTP/1.1 429 No\r\nRetry-After: 0.01\r\n" + "Content-Length: 0\r\nConnection: close\r\n\r\n",
                    false);
            LoadResult result = end(start(plan, (InetSocketAddress) server.getLocalSocketAddress(), sink));
            server.close();
            answers.join();
            assertEquals(200, result.refused(), result.line());
        }
        assertEquals(
                200, sink.records().asked().stream().map(Asked::id).distinct().count());
        assertTrue(sink.records().asked().stream().allMatch(a -> a.end() == Asked.End.REFUSED));
    }

    @Test
    void aFileThatIsWrongIsRefusedWithItsKey() {
        for (String[] wrong : new String[][] {
            {"[load]\nsecond = 3\n[[shape]]\nkind = \"constant\"\nrate = 1", "load.second"},
            {"", "shape"},
            {"[[shape]]\nkind = \"wave\"", "shape[0].kind"},
            {"[[shape]]\nkind = \"constant\"", "shape[0].rate"}
        }) {
            String message =
                    assertThrows(SettingsException.class, () -> plan(wrong[0])).getMessage();
            assertTrue(message.startsWith("load.toml: ") && message.contains(wrong[1]), message);
        }
    }
}
