package burlarch.proxy.status;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.proxy.FakeServer;
import burlarch.proxy.Features;
import burlarch.proxy.Fixture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The status page over loopback sockets, while requests go through the proxy. */
@Timeout(60)
class StatusPageTest {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private Fixture proxy;
    private InetSocketAddress pageAddress;

    @BeforeEach
    void start() throws Exception {
        proxy = new Fixture(List.of(), Fixture.SOCKETS, Features.none().with(new StatusSettings(0, 100)));
        pageAddress = proxy.sidePort("status.listen_port");
    }

    @AfterEach
    void stop() {
        proxy.close();
    }

    /** Returns the response; empty if the connection is closed, possibly by a reset as the request was never read. */
    private String get(String path) {
        try {
            return Fixture.raw(pageAddress, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
        } catch (IOException e) {
            return "";
        }
    }

    /** Repeats the request until the response satisfies the predicate. */
    private String await(String path, Predicate<String> condition) {
        long startNanos = System.nanoTime();
        String answer = get(path);
        while (!condition.test(answer)) {
            assertTrue(System.nanoTime() - startNanos < TIMEOUT_NANOS, answer);
            answer = get(path);
        }
        return answer;
    }

    private void discoveryAnswers(String line) throws InterruptedException {
        proxy.discovery
                .next()
                .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length() + 1)
                        + "\r\n" + line + "\n\r\n");
    }

    @Test
    void thePageIsStaleAndEmptyUntilDiscoveryAnswers() throws Exception {
        String json = get("/status.json");
        assertTrue(json.startsWith("HTTP/1.1 200 OK"), json);
        assertTrue(json.contains("content-type: application/json"), json);
        assertTrue(json.contains("\"stale\":true,\"servers\":[]"), json);
        assertTrue(get("/status").contains("<p>stale: "));
        // An empty change: the list of the configuration remains valid.
        discoveryAnswers("");
        String answered = await("/status.json", text -> text.contains("\"stale\":false"));
        assertTrue(
                answered.contains("{\"instanceId\":\"c-1\",\"hostPort\":\"" + proxy.cache.hostPort()
                        + "\",\"lifecycle\":\"SERVING\",\"errors\":[]}"),
                answered);
        assertFalse(get("/status").contains("<p>stale: "));
    }

    @Test
    void errorsAndRequestsInFlightAreShown() throws Exception {
        discoveryAnswers("");
        proxy.cache.resetAll();
        proxy.send("GET", "/look/k", "");
        FakeServer.Received fetch = proxy.origin.next();
        String json = await("/status.json", text -> text.contains("\"reset "));
        assertTrue(json.matches("(?s).*\"c-1\"[^}]*\"errors\":\\[\"reset \\d\\d:\\d\\d:\\d\\d\".*"), json);
        await("/status.json", text -> text.contains("{\"class\":\"look\",\"requests_per_s\":0.0,\"in_flight\":1}"));
        fetch.answer("200 OK", "v");
        await("/status", text -> text.contains("<tr><td>look</td><td>0.0</td><td>0</td></tr>"));
    }

    @Test
    void theBuildVersionAndTheContentTypeAreReturned() throws Exception {
        assertTrue(StatusPage.version().matches("\\d+\\.\\d+\\.\\d+.*"), StatusPage.version());
        String html = get("/status");
        assertTrue(html.contains("content-type: text/html"), html);
        assertTrue(html.contains("Version " + StatusPage.version()), html);
    }

    @Test
    void invalidPathsMethodsAndRequestsGetAnError() throws Exception {
        assertTrue(get("/").startsWith("HTTP/1.1 404 "));
        assertTrue(get("/status/x").startsWith("HTTP/1.1 404 "));
        String put = Fixture.raw(pageAddress, "PUT /status HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        assertTrue(put.startsWith("HTTP/1.1 405 ") && put.contains("allow: GET"), put);
        assertTrue(Fixture.raw(pageAddress, "nonsense\r\n\r\n").startsWith("HTTP/1.1 400 "));
        assertTrue(Fixture.raw(pageAddress, "GET /sta").startsWith("HTTP/1.1 408 "));
        assertTrue(Fixture.raw(pageAddress, "").startsWith("HTTP/1.1 408 "));
    }

    /** Idle connections use up the page's limit: proxied requests are still served, and later readers too. */
    @Test
    void idleConnectionsDelayNoProxiedRequest() throws Exception {
        proxy.cache.answerWith("200 OK", "v");
        long startNanos = System.nanoTime();
        String extraResponse = "none";
        while (!extraResponse.isEmpty()) {
            // Repeated if the first connection timed out before the last was opened.
            assertTrue(System.nanoTime() - startNanos < TIMEOUT_NANOS, "connection limit exceeded: " + extraResponse);
            List<Socket> connections = new ArrayList<>();
            try {
                for (int i = 0; i < 8; i++) {
                    connections.add(new Socket(pageAddress.getAddress(), pageAddress.getPort()));
                }
                extraResponse = get("/status");
                assertEquals("v", proxy.read("k").get().body());
            } finally {
                for (Socket connection : connections) {
                    connection.close();
                }
            }
        }
        await("/status", text -> text.startsWith("HTTP/1.1 200 "));
    }

    @Test
    void aDrainStopsAcceptingConnections() throws Exception {
        Thread drain = new Thread(proxy::drain);
        drain.start();
        long startNanos = System.nanoTime();
        boolean open = true;
        while (open) {
            assertTrue(System.nanoTime() - startNanos < TIMEOUT_NANOS, "still open");
            try {
                new Socket(pageAddress.getAddress(), pageAddress.getPort()).close();
            } catch (IOException e) {
                open = false;
            }
        }
        drain.join();
    }
}
