package burlarch.lab.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.audit.ClientRequest;
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

/**
 * Runs the load generator against servers that stall, die or violate HTTP, and checks its counts and latencies
 * against the values computed from the schedule.
 */
@Timeout(180)
class LoadGeneratorTest {
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

    private static LoadPlan evenLoad(int rate, double seconds, int connections) throws SettingsException {
        return plan("[load]\narrivals = \"even\"\nseconds = " + seconds + "\nconnections = " + connections
                + "\nlag_p99_ms_most = 100\n[[shape]]\nkind = \"constant\"\nrate = " + rate);
    }

    private static LoadGenerator start(LoadPlan plan, InetSocketAddress address, Sink sink) throws IOException {
        return LoadGenerator.start(plan, List.of(new LoadGenerator.Target("n0", address)), sink);
    }

    private static LoadResult awaitResult(LoadGenerator generator) throws InterruptedException {
        assertTrue(generator.await(120, TimeUnit.SECONDS), "the run does not end");
        LoadResult result = generator.result();
        generator.close();
        return result;
    }

    @Test
    void serverStallDelaysEveryRequestDueDuringIt() throws Exception {
        LoadPlan plan = evenLoad(1000, 3, 16);
        long[] dueTimes = Schedule.of(plan.shape(), plan.seconds(), false, plan.seed());
        try (NullServer server = new NullServer(1);
                LoadGenerator generator = start(plan, server.address(), Sink.NONE)) {
            while (generator.result().served() < 200) {
                Thread.sleep(1);
            }
            Future<long[]> stall = server.stall(2000);
            LoadResult result = awaitResult(generator);
            long stallStart = stall.get()[0] - generator.startNanos();
            long stallEnd = stall.get()[1] - generator.startNanos();
            // No request due during the stall can be answered before the stall ends.
            long overOneSecond = Arrays.stream(dueTimes)
                    .filter(dueNanos -> dueNanos >= stallStart && dueNanos <= stallEnd - 1_010_000_000L)
                    .count();
            long overHalfSecond = Arrays.stream(dueTimes)
                    .filter(dueNanos -> dueNanos >= stallStart && dueNanos <= stallEnd - 510_000_000L)
                    .count();
            assertTrue(overOneSecond > 900 && overHalfSecond > 1400, overOneSecond + " " + overHalfSecond);
            assertEquals(dueTimes.length, result.served(), result.progressLine());
            assertTrue(result.servedOver(1000) >= overOneSecond, result.servedOver(1000) + " " + overOneSecond);
            assertTrue(result.servedOver(500) >= overHalfSecond, result.servedOver(500) + " " + overHalfSecond);
            // The percentile follows from the count of delayed requests; a closed loop with 16 connections would
            // show only 16.
            assertTrue(result.servedMs(100.0 - 100.0 * overOneSecond / dueTimes.length) >= 990, result.progressLine());
            assertTrue(result.servedMs(100) >= (stallEnd - stallStart) / 1e6 - 20, result.progressLine());
        }
    }

    @Test
    void initialConnectionsAreOpenedInFull() throws Exception {
        LoadPlan plan = plan("[load]\narrivals = \"even\"\nseconds = 0.2\n"
                + "connections = 100\nopen_first = 60\n"
                + "lag_p99_ms_most = 1000\n[[shape]]\nkind = \"constant\"\nrate = 50");
        try (ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"))) {
            java.util.concurrent.atomic.AtomicInteger accepted = new java.util.concurrent.atomic.AtomicInteger();
            List<Socket> sockets = new java.util.concurrent.CopyOnWriteArrayList<>();
            Thread acceptThread = new Thread(() -> {
                while (!server.isClosed()) {
                    try {
                        sockets.add(server.accept());
                        accepted.incrementAndGet();
                    } catch (IOException e) {
                        return;
                    }
                }
            });
            acceptThread.start();
            LoadGenerator generator = start(plan, (InetSocketAddress) server.getLocalSocketAddress(), Sink.NONE);
            while (accepted.get() < 60) {
                Thread.sleep(1);
            }
            for (Socket socket : sockets) {
                socket.close();
            }
            generator.stop();
            generator.close();
            server.close();
            acceptThread.join();
        }
    }

    @Test
    void tlsServerIsServedOnlyWhenItsCaIsTrusted() throws Exception {
        X509Bundle server = certificate();
        Path trusted = Files.writeString(folder.resolve("ca.pem"), server.getCertificatePathPEM());
        Path other =
                Files.writeString(folder.resolve("other.pem"), certificate().getCertificatePathPEM());
        SslContext tls = SslContextBuilder.forServer(server.getKeyPair().getPrivate(), server.getCertificatePath())
                .build();
        try (NullServer nullServer = new NullServer(1, 0, tls)) {
            String load = "[load]\narrivals = \"even\"\nseconds = 0.5\nlag_p99_ms_most = 1000\n"
                    + "[[shape]]\nkind = \"constant\"\nrate = 100\n[client_tls]\non = true\nca_file = \"";
            LoadResult result = awaitResult(start(plan(load + trusted + "\""), nullServer.address(), Sink.NONE));
            assertEquals(50, result.served(), result.progressLine());
            LoadResult refused = awaitResult(start(plan(load + other + "\""), nullServer.address(), Sink.NONE));
            assertEquals(50, refused.unsent(), refused.progressLine());
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
    void requestsAreAllCountedWhenServerDiesMidRun() throws Exception {
        LoadPlan plan = evenLoad(500, 1.5, 50);
        try (NullServer server = new NullServer(1)) {
            LoadGenerator generator = start(plan, server.address(), Sink.NONE);
            while (generator.result().served() < 100) {
                Thread.sleep(1);
            }
            server.close();
            LoadResult result = awaitResult(generator);
            assertEquals(750, result.completed());
            assertTrue(result.served() >= 100 && result.unsent() > 0, result.progressLine());
        }
    }

    @Test
    void runIsInvalidWhenGeneratorLoopIsBlocked() throws Exception {
        LoadPlan plan = evenLoad(500, 1, 50);
        try (NullServer server = new NullServer(1)) {
            LoadGenerator generator = start(plan, server.address(), Sink.NONE);
            generator.loop(0).execute(() -> {
                try {
                    Thread.sleep(600);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            LoadResult result = awaitResult(generator);
            assertFalse(result.valid(), result.progressLine());
            assertTrue(result.lagMs(99) > 400, result.progressLine());
        }
    }

    @Test
    void runIsInvalidWhenClockJumps() throws Exception {
        LoadPlan plan = evenLoad(500, 2, 50);
        long clockStartNanos = System.nanoTime();
        try (NullServer server = new NullServer(1)) {
            LoadGenerator generator = LoadGenerator.start(
                    plan, List.of(new LoadGenerator.Target("n0", server.address())), Sink.NONE, () -> {
                        long nanos = System.nanoTime();
                        return nanos - clockStartNanos > 300_000_000L ? nanos + 1_000_000_000L : nanos;
                    });
            LoadResult result = awaitResult(generator);
            assertEquals(1000, result.completed());
            assertFalse(result.valid(), result.progressLine());
        }
    }

    @Test
    void extraResponseIsRecorded() throws Exception {
        MemorySink sink = new MemorySink(100);
        try (ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"))) {
            Thread serverThread = startServer(
                    server,
                    200,
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                    false);
            LoadGenerator generator =
                    start(evenLoad(10, 0.5, 1), (InetSocketAddress) server.getLocalSocketAddress(), sink);
            awaitResult(generator);
            server.close();
            serverThread.join();
        }
        assertTrue(sink.records().clientRequests().stream().anyMatch(record -> record.answers() == 2));
    }

    @Test
    void requestIsResentOnceWhenKeptAliveConnectionCloses() throws Exception {
        MemorySink sink = new MemorySink(100);
        try (ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"))) {
            // The server closes each connection when the second request arrives on it.
            Thread serverThread = startServer(server, 200, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true);
            LoadGenerator generator =
                    start(evenLoad(10, 1, 1), (InetSocketAddress) server.getLocalSocketAddress(), sink);
            LoadResult result = awaitResult(generator);
            server.close();
            serverThread.join();
            assertEquals(10, result.served(), result.progressLine());
        }
    }

    @Test
    void requestIsRecordedAsCrossedWhenProxyClosesAndIsGone() throws Exception {
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
                // A failure here shows in the records checked below.
            }
        });
        once.start();
        awaitResult(start(evenLoad(10, 0.5, 1), address, sink));
        once.join();
        assertEquals(
                List.of(ClientRequest.End.SERVED, ClientRequest.End.CROSSED),
                sink.records().clientRequests().stream().map(ClientRequest::end).toList());
    }

    /**
     * Starts a server thread that handles one connection at a time and answers each request on it.
     *
     * @param once whether to answer only the first request of a connection, read the next and close
     */
    private static Thread startServer(ServerSocket server, int maxConnections, String response, boolean once) {
        Thread thread = new Thread(() -> {
            for (int i = 0; i < maxConnections; i++) {
                try (Socket socket = server.accept()) {
                    InputStream input = socket.getInputStream();
                    for (int requestIndex = 0; ; requestIndex++) {
                        if (!readHead(input) || once && requestIndex == 1) {
                            break;
                        }
                        socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
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

    private static boolean readHead(InputStream input) throws IOException {
        int matched = 0;
        for (int b = input.read(); b >= 0; b = input.read()) {
            matched = b == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : b == '\r' ? 1 : 0;
            if (matched == 4) {
                return true;
            }
        }
        return false;
    }

    @Test
    void recordedPlanIsReplayedWithSameTimesAndKeys() throws Exception {
        Path trace = folder.resolve("plan.trace");
        LoadPlan plan =
                plan("[load]\nseconds = 2\nseed = 9\n" + "[[shape]]\nkind = \"rush\"\npeak = 400\nrise_s = 0.5");
        LoadGenerator.record(plan, trace);
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
    void refusedRequestsAreRetriedOnceAndRecorded() throws Exception {
        MemorySink sink = new MemorySink(10_000);
        LoadPlan plan = plan("[load]\narrivals = \"even\"\nseconds = 1\nlag_p99_ms_most = 1000\n"
                + "[clients]\nretry_share = 1\nbackoff_ms = 5\n[[shape]]\nkind = \"constant\"\nrate = 100");
        try (ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"))) {
            Thread serverThread = startServer(
                    server,
                    1000,
                    "HTTP/1.1 429 No\r\nRetry-After: 0.01\r\n" + "Content-Length: 0\r\nConnection: close\r\n\r\n",
                    false);
            LoadResult result = awaitResult(start(plan, (InetSocketAddress) server.getLocalSocketAddress(), sink));
            server.close();
            serverThread.join();
            assertEquals(200, result.refused(), result.progressLine());
        }
        assertEquals(
                200,
                sink.records().clientRequests().stream()
                        .map(ClientRequest::id)
                        .distinct()
                        .count());
        assertTrue(
                sink.records().clientRequests().stream().allMatch(record -> record.end() == ClientRequest.End.REFUSED));
    }

    @Test
    void invalidSettingsAreRejectedNamingTheKey() {
        for (String[] testCase : new String[][] {
            {"[load]\nsecond = 3\n[[shape]]\nkind = \"constant\"\nrate = 1", "load.second"},
            {"", "shape"},
            {"[[shape]]\nkind = \"wave\"", "shape[0].kind"},
            {"[[shape]]\nkind = \"constant\"", "shape[0].rate"}
        }) {
            String message = assertThrows(SettingsException.class, () -> plan(testCase[0]))
                    .getMessage();
            assertTrue(message.startsWith("load.toml: ") && message.contains(testCase[1]), message);
        }
    }
}
