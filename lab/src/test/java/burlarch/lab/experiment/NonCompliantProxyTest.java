package burlarch.lab.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.audit.Audit;
import burlarch.audit.Breach.Rule;
import burlarch.audit.MemorySink;
import burlarch.audit.Rules;
import burlarch.audit.Verdict;
import burlarch.lab.load.LoadGenerator;
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
 * Runs the whole chain (load generator, fleet stand-ins, audit) around a proxy that violates exactly one rule, and
 * checks that the audit reports that rule and no other.
 */
@Timeout(120)
class NonCompliantProxyTest {
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

    /** Handles one request on behalf of the proxy. */
    private interface Behaviour {
        /** @return the status and body of the response; null to close the connection without one */
        Response of(TestProxy proxy, String method, String path, String id) throws Exception;
    }

    private record Response(int status, String body) {}

    /** Minimal proxy with one thread per connection. */
    private static final class TestProxy implements AutoCloseable {
        final Fleet fleet;
        final ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        final ExecutorService threads = Executors.newCachedThreadPool();
        final HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        final AtomicInteger requests = new AtomicInteger();

        TestProxy(Fleet fleet, Behaviour behaviour) throws IOException {
            this.fleet = fleet;
            threads.execute(() -> {
                while (!server.isClosed()) {
                    try {
                        Socket socket = server.accept();
                        threads.execute(() -> serve(socket, behaviour));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket socket, Behaviour behaviour) {
            try (socket) {
                InputStream input = socket.getInputStream();
                for (String headText = readHead(input); headText != null; headText = readHead(input)) {
                    requests.incrementAndGet();
                    String[] headWords = headText.split("[ \r\n]+");
                    String id = headText.replaceAll("(?s).*X-Request-ID: ([0-9a-f]+).*", "$1");
                    Response response = behaviour.of(this, headWords[0], headWords[1], id);
                    if (response == null) {
                        return;
                    }
                    OutputStream output = socket.getOutputStream();
                    output.write(("HTTP/1.1 " + response.status() + " X\r\nContent-Length: "
                                    + response.body().length() + "\r\n\r\n" + response.body())
                            .getBytes(StandardCharsets.ISO_8859_1));
                    output.flush();
                }
            } catch (Exception e) {
                // The connection closes; the audit sees the effect.
            }
        }

        private static String readHead(InputStream input) throws IOException {
            StringBuilder text = new StringBuilder();
            while (text.length() < 4 || !text.substring(text.length() - 4).equals("\r\n\r\n")) {
                int b = input.read();
                if (b < 0) {
                    return null;
                }
                text.append((char) b);
            }
            return text.toString();
        }

        CompletableFuture<Response> sendToNode(String node, String method, String path, String id) {
            HttpRequest request = HttpRequest.newBuilder(URI.create(
                            "http://127.0.0.1:" + fleet.node(node, "n0").getPort() + path))
                    .header("X-Request-ID", id)
                    .method(method, HttpRequest.BodyPublishers.noBody())
                    .build();
            return client.sendAsync(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.ISO_8859_1))
                    .thenApply(nodeResponse -> new Response(nodeResponse.statusCode(), nodeResponse.body()));
        }

        @Override
        public void close() throws IOException {
            server.close();
            threads.shutdownNow();
        }
    }

    private static Verdict run(String requestClass, String repeat, int workMs, Behaviour behaviour) throws Exception {
        SettingsFile file = SettingsFile.parse(
                "cheat.toml",
                PLAN.replace("CLASS", requestClass).replace("WORK", workMs + "\nrepeat = \"" + repeat + "\""));
        FleetPlan plan = FleetPlan.read(file);
        LoadPlan load = LoadPlan.read(file, plan);
        MemorySink sink = new MemorySink(100_000);
        try (Fleet fleet = Fleet.start(plan, sink);
                TestProxy proxy = new TestProxy(fleet, behaviour)) {
            HttpClient.newHttpClient()
                    .send(
                            HttpRequest.newBuilder(URI.create("http://" + fleet.discovery("n0") + "/catalog/members"))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding());
            try (LoadGenerator generator = LoadGenerator.start(
                    load,
                    List.of(new LoadGenerator.Target("n0", (InetSocketAddress) proxy.server.getLocalSocketAddress())),
                    sink)) {
                assertTrue(generator.await(60, TimeUnit.SECONDS));
            }
            assertTrue(proxy.requests.get() > 0);
        }
        return Audit.of(sink.records(), Rules.standard(plan.repeats()));
    }

    private static void assertOnlyBreach(Rule rule, Verdict verdict) {
        assertEquals(
                List.of(rule),
                List.copyOf(verdict.counts().keySet()),
                verdict.breaches().toString());
    }

    @Test
    void compliantProxyPassesAudit() throws Exception {
        Verdict verdict = run("read", "pure", 1, (proxy, method, path, id) -> proxy.sendToNode("c-0", method, path, id)
                .get());
        assertTrue(verdict.passed(), verdict.breaches().toString());
    }

    @Test
    void concurrentCopiesAreReported() throws Exception {
        assertOnlyBreach(Rule.NO_SECOND_COPY, run("read", "pure", 150, (proxy, method, path, id) -> {
            CompletableFuture<Response> first = proxy.sendToNode("c-0", method, path, id);
            CompletableFuture<Response> second = proxy.sendToNode("c-1", method, path, id);
            second.get();
            return first.get();
        }));
    }

    @Test
    void responseInventedByProxyIsReported() throws Exception {
        assertOnlyBreach(Rule.UNMADE, run("read", "pure", 1, (proxy, method, path, id) -> new Response(200, "12.50")));
    }

    @Test
    void requestWithoutClientRequestIsReported() throws Exception {
        assertOnlyBreach(Rule.UNASKED, run("read", "pure", 1, (proxy, method, path, id) -> {
            proxy.sendToNode("c-1", method, path, "feed" + id).get();
            return proxy.sendToNode("c-0", method, path, id).get();
        }));
    }

    @Test
    void droppedRequestIsReported() throws Exception {
        assertOnlyBreach(Rule.ONE_ANSWER, run("read", "pure", 1, (proxy, method, path, id) -> null));
    }

    @Test
    void lateRefusalIsReported() throws Exception {
        assertOnlyBreach(Rule.HELD, run("read", "pure", 1, (proxy, method, path, id) -> {
            Thread.sleep(1850);
            return new Response(429, "");
        }));
    }

    @Test
    void repeatForbiddenByClassIsReported() throws Exception {
        assertOnlyBreach(Rule.NO_UNSAFE_REPEAT, run("note", "side_effect", 1, (proxy, method, path, id) -> {
            proxy.sendToNode("c-0", method, path, id).get();
            return proxy.sendToNode("c-0", method, path, id).get();
        }));
    }

    @Test
    void sixthAttemptIsReported() throws Exception {
        assertOnlyBreach(Rule.ATTEMPTS, run("read", "pure", 1, (proxy, method, path, id) -> {
            for (int i = 0; i < 5; i++) {
                proxy.sendToNode("c-" + i % 2, method, path, id).get();
            }
            return proxy.sendToNode("c-0", method, path, id).get();
        }));
    }

    @Test
    void requestToDrainingNodeAfterGracePeriodIsReported() throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        assertOnlyBreach(Rule.DRAIN, run("read", "pure", 1, (proxy, method, path, id) -> {
            if (requestCount.getAndIncrement() == 0) {
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
            proxy.sendToNode("c-1", method, path, id).get();
            return proxy.sendToNode("c-0", method, path, id).get();
        }));
    }
}
