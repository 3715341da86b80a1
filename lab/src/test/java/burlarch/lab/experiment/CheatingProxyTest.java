package burlarch.lab.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.audit.Audit;
import burlarch.audit.Breach.Rule;
import burlarch.audit.MemorySink;
import burlarch.audit.Rules;
import burlarch.audit.Verdict;
import burlarch.lab.load.Generator;
import burlarch.lab.load.LoadPlan;
import burlarch.settings.SettingsFile;
import burlarch.standins.fleet.Fault;
import burlarch.standins.fleet.Fleet;
import burlarch.standins.fleet.FleetPlan;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The whole chain, client to node to audit, around a proxy that cheats in one way: the audit finds just that.
 */
@Timeout(120)
class CheatingProxyTest {
    private static final String PLAN =
            """
            [[kind]]
            name = "fast"
            queue = 500
            [[nodes]]
            kind = "fast"
            count = 2
            [ledger]
            queue = 500
            [[class]]
            name = "CLASS"
            work_ms = WORK
            deadline_ms = 2000
            [objects]
            count = 10
            warm = 10
            [discovery]
            notice_ms = 1
            [load]
            arrivals = "even"
            grace_ms = 20000
            seconds = 1
            lag_p99_ms_most = 10000
            [[shape]]
            kind = "constant"
            rate = 20
            """;

    /** What it does with a request. */
    private interface Way {
        /** @return the answer's status and body, null to close without one */
        Answer of(Cheat proxy, String method, String path, String id) throws Exception;
    }

    private record Answer(int status, String body) {}

    /** A proxy of a few lines, a thread a connection. */
    private static final class Cheat implements AutoCloseable {
        final Fleet fleet;
        final ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        final ExecutorService threads = Executors.newCachedThreadPool();
        final HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        final AtomicInteger requests = new AtomicInteger();

        Cheat(Fleet fleet, Way way) throws IOException {
            this.fleet = fleet;
            threads.execute(() -> {
                while (!server.isClosed()) {
                    try {
                        Socket socket = server.accept();
                        threads.execute(() -> serve(socket, way));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket socket, Way way) {
            try (socket) {
                InputStream in = socket.getInputStream();
                for (String head = head(in); head != null; head = head(in)) {
                    requests.incrementAndGet();
                    String[] words = head.split("[ \r\n]+");
                    String id = head.replaceAll("(?s).*X-Request-ID: ([0-9a-f]+).*", "$1");
                    Answer answer = way.of(this, words[0], words[1], id);
                    if (answer == null) {
                        return;
                    }
                    OutputStream out = socket.getOutputStream();
                    out.write(("HTTP/1.1 " + answer.status() + " X\r\nContent-Length: "
                                    + answer.body().length() + "\r\n\r\n" + answer.body())
                            .getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                }
            } catch (Exception e) {
                // The connection ends: the audit sees what that does.
            }
        }

        private static String head(InputStream in) throws IOException {
            StringBuilder text = new StringBuilder();
            while (text.length() < 4 || !text.substring(text.length() - 4).equals("\r\n\r\n")) {
                int b = in.read();
                if (b < 0) {
                    return null;
                }
                text.append((char) b);
            }
            return text.toString();
        }

        CompletableFuture<Answer> ask(String node, String method, String path, String id) {
            HttpRequest request = HttpRequest.newBuilder(URI.create(
                            "http://127.0.0.1:" + fleet.node(node, "n0").getPort() + path))
                    .header("X-Request-ID", id)
                    .method(method, HttpRequest.BodyPublishers.noBody())
                    .build();
            return client.sendAsync(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.ISO_8859_1))
                    .thenApply(r -> new Answer(r.statusCode(), r.body()));
        }

        @Override
        public void close() throws IOException {
            server.close();
            threads.shutdownNow();
        }
    }

    private static Verdict run(String requestClass, String repeat, int workMs, Way way) throws Exception {
        SettingsFile file = SettingsFile.parse(
                "cheat.toml",
                PLAN.replace("CLASS", requestClass).replace("WORK", workMs + "\nrepeat = \"" + repeat + "\""));
        FleetPlan plan = FleetPlan.read(file);
        LoadPlan load = LoadPlan.read(file, plan);
        MemorySink sink = new MemorySink(100_000);
        try (Fleet fleet = Fleet.start(plan, sink);
                Cheat proxy = new Cheat(fleet, way)) {
            HttpClient.newHttpClient()
                    .send(
                            HttpRequest.newBuilder(URI.create("http://" + fleet.discovery("n0") + "/catalog/members"))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding());
            try (Generator generator = Generator.start(
                    load,
                    List.of(new Generator.Target("n0", (InetSocketAddress) proxy.server.getLocalSocketAddress())),
                    sink)) {
                assertTrue(generator.await(60, TimeUnit.SECONDS));
            }
            assertTrue(proxy.requests.get() > 0);
        }
        return Audit.of(sink.records(), Rules.standard(plan.repeats()));
    }

    private static void finds(Rule rule, Verdict verdict) {
        assertEquals(
                List.of(rule),
                List.copyOf(verdict.counts().keySet()),
                verdict.breaches().toString());
    }

    @Test
    void anHonestProxyPasses() throws Exception {
        Verdict verdict = run("read", "pure", 1, (proxy, method, path, id) -> proxy.ask("c-0", method, path, id)
                .get());
        assertTrue(verdict.passed(), verdict.breaches().toString());
    }

    @Test
    void twoCopiesAtOnceAreFound() throws Exception {
        finds(Rule.NO_SECOND_COPY, run("read", "pure", 150, (proxy, method, path, id) -> {
            CompletableFuture<Answer> first = proxy.ask("c-0", method, path, id);
            CompletableFuture<Answer> second = proxy.ask("c-1", method, path, id);
            second.get();
            return first.get();
        }));
    }

    @Test
    void anAnswerOutOfTheProxysOwnHeadIsFound() throws Exception {
        finds(Rule.UNMADE, run("read", "pure", 1, (proxy, method, path, id) -> new Answer(200, "12.50")));
    }

    @Test
    void aProbeIsFound() throws Exception {
        finds(Rule.UNASKED, run("read", "pure", 1, (proxy, method, path, id) -> {
            proxy.ask("c-1", method, path, "feed" + id).get();
            return proxy.ask("c-0", method, path, id).get();
        }));
    }

    @Test
    void aRequestThatIsDroppedIsFound() throws Exception {
        finds(Rule.ONE_ANSWER, run("read", "pure", 1, (proxy, method, path, id) -> null));
    }

    @Test
    void aRefusalThatIsSatOnIsFound() throws Exception {
        finds(Rule.HELD, run("read", "pure", 1, (proxy, method, path, id) -> {
            Thread.sleep(1850);
            return new Answer(429, "");
        }));
    }

    @Test
    void aRepeatThatTheClassForbidsIsFound() throws Exception {
        finds(Rule.NO_UNSAFE_REPEAT, run("note", "side_effect", 1, (proxy, method, path, id) -> {
            proxy.ask("c-0", method, path, id).get();
            return proxy.ask("c-0", method, path, id).get();
        }));
    }

    @Test
    void sixAttemptsAreFound() throws Exception {
        finds(Rule.ATTEMPTS, run("read", "pure", 1, (proxy, method, path, id) -> {
            for (int i = 0; i < 5; i++) {
                proxy.ask("c-" + i % 2, method, path, id).get();
            }
            return proxy.ask("c-0", method, path, id).get();
        }));
    }

    @Test
    void sendingToANodeWhoseDrainWasToldLongAgoIsFound() throws Exception {
        AtomicInteger number = new AtomicInteger();
        finds(Rule.DRAIN, run("read", "pure", 1, (proxy, method, path, id) -> {
            if (number.getAndIncrement() == 0) {
                proxy.fleet.inject(Fault.Kind.DRAIN, 0, "c-1");
                do {
                    Thread.sleep(1);
                } while (!proxy.client
                        .send(
                                HttpRequest.newBuilder(URI.create(
                                                "http://" + proxy.fleet.discovery("n0") + "/catalog/members"))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString())
                        .body()
                        .contains("DRAINING"));
                Thread.sleep(900);
            }
            proxy.ask("c-1", method, path, id).get();
            return proxy.ask("c-0", method, path, id).get();
        }));
    }
}
