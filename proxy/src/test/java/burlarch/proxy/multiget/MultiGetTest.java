package burlarch.proxy.multiget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.proxy.FakeServer;
import burlarch.proxy.Features;
import burlarch.proxy.Fixture;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Multi-gets over loopback sockets, with three cache nodes and an origin. */
@Timeout(60)
class MultiGetTest {
    private static final int MAX_KEYS = 16;
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final FakeServer secondCache = new FakeServer();
    private final FakeServer thirdCache = new FakeServer();
    private Fixture proxy;

    @BeforeEach
    void start() throws Exception {
        start(Fixture.SETTINGS);
    }

    private void start(String settings) throws Exception {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
        proxy = new Fixture(
                List.of(
                        Fixture.entry("c-2", secondCache, "cache", "SERVING"),
                        Fixture.entry("c-3", thirdCache, "cache", "SERVING")),
                Fixture.SOCKETS,
                Features.none().with(new MultiGetSettings(anyPort, MAX_KEYS)),
                settings);
    }

    @AfterEach
    void stop() {
        proxy.close();
        secondCache.close();
        thirdCache.close();
    }

    private static String request(String body, String... headers) {
        StringBuilder text = new StringBuilder("POST /multi/account-read HTTP/1.1\r\nHost: x\r\n"
                + "Connection: close\r\nX-Tenant-Id: acme\r\nContent-Length: " + body.length() + "\r\n");
        for (String header : headers.length > 0 ? headers : new String[] {"X-Timeout-Ms: 40000"}) {
            text.append(header).append("\r\n");
        }
        return text + "\r\n" + body;
    }

    private String exchange(String text) throws IOException {
        return Fixture.raw(proxy.sidePort("multiget.listen"), text);
    }

    private CompletableFuture<String> exchangeAsync(String text) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return exchange(text);
            } catch (IOException e) {
                return e.toString();
            }
        });
    }

    private List<FakeServer> caches() {
        return List.of(proxy.cache, secondCache, thirdCache);
    }

    private boolean hasNoRequests() {
        return proxy.origin.hasNoRequests() && caches().stream().allMatch(FakeServer::hasNoRequests);
    }

    /** Waits for requests for {@code count} keys at the cache nodes; returns them by key. */
    private Map<String, FakeServer.Received> awaitRequests(int count) {
        Map<String, FakeServer.Received> received = new HashMap<>();
        long startNanos = System.nanoTime();
        while (received.size() < count) {
            assertTrue(System.nanoTime() - startNanos < TIMEOUT_NANOS, "requests only for keys " + received.keySet());
            for (FakeServer cache : caches()) {
                cache.poll()
                        .ifPresent(request ->
                                received.put(request.uri.substring(request.uri.lastIndexOf('/') + 1), request));
            }
        }
        return received;
    }

    private static String body(String answer) {
        return answer.substring(answer.indexOf("\r\n\r\n") + 4);
    }

    /**
     * All requests are sent, with their own ids, before the first is answered; the answer keeps the order of the body.
     */
    @Test
    void eachLineIsSentAsItsOwnRequestAndAnsweredInOrder() throws Exception {
        StringBuilder requestBody = new StringBuilder();
        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < MAX_KEYS; i++) {
            requestBody.append("id").append(i).append(" prestamo-").append(i).append('\n');
            expected.append("id")
                    .append(i)
                    .append(" 200 ")
                    .append(("v" + i).length())
                    .append("\nv")
                    .append(i)
                    .append('\n');
        }
        CompletableFuture<String> answer = exchangeAsync(request(requestBody.toString()));
        Map<String, FakeServer.Received> received = awaitRequests(MAX_KEYS);
        for (int i = MAX_KEYS - 1; i >= 0; i--) {
            FakeServer.Received request = received.get("prestamo-" + i);
            assertEquals("GET", request.method);
            assertEquals("/account-read/prestamo-" + i, request.uri);
            assertEquals("id" + i, request.headers.get("X-Request-ID"));
            request.answer("200 OK", "v" + i);
        }
        assertTrue(answer.get().startsWith("HTTP/1.1 200 OK"), answer.get());
        assertFalse(answer.get().toLowerCase().contains("x-partial"), answer.get());
        assertEquals(expected.toString(), body(answer.get()));
        assertTrue(caches().stream().allMatch(cache -> cache.connections.get() > 0), "keys are spread");
    }

    /**
     * A miss is fetched from the origin, as for a single request; a failure of the origin affects only its own line.
     */
    @Test
    void aFailedLineMakesTheAnswerPartial() throws Exception {
        caches().forEach(cache -> cache.answerWith("404 Not Found", ""));
        CompletableFuture<String> answer = exchangeAsync(request("a1 good\nb2 bad"));
        for (int i = 0; i < 2; i++) {
            FakeServer.Received fetch = proxy.origin.next();
            if (fetch.uri.endsWith("good")) {
                fetch.answer("200 OK", "of the origin");
            } else {
                proxy.origin.answerWith("500 Internal Server Error", "");
                fetch.answer("500 Internal Server Error", "");
            }
        }
        assertTrue(answer.get().startsWith("HTTP/1.1 200 OK"), answer.get());
        assertTrue(answer.get().toLowerCase().contains("\r\nx-partial: 1\r\n"), answer.get());
        assertTrue(body(answer.get()).matches("a1 200 13\nof the origin\nb2 (502|429) 0\n\n"), answer.get());
    }

    @Test
    void lineWithoutResponseAtTheTimeoutIs504() throws Exception {
        CompletableFuture<String> answer = exchangeAsync(request("a1 k\nb2 slow", "X-Timeout-Ms: 4000"));
        Map<String, FakeServer.Received> received = awaitRequests(2);
        received.get("k").answer("200 OK", "v");
        assertEquals("a1 200 1\nv\nb2 504 0\n\n", body(answer.get()));
        assertTrue(answer.get().toLowerCase().contains("\r\nx-partial: 1\r\n"), answer.get());
    }

    /**
     * The decision module waits no longer than the time aim of the request class, however long the client's timeout is.
     */
    @Test
    void lineWithoutResponseAtTheTimeAimIs504() throws Exception {
        proxy.close();
        start(Fixture.SETTINGS.replace(
                "{\"name\":\"account-read\",\"aim_ns\":20000000000",
                "{\"name\":\"account-read\",\"aim_ns\":1000000000"));
        CompletableFuture<String> answer = exchangeAsync(request("a1 slow"));
        assertEquals("a1 504 0\n\n", body(answer.get()));
    }

    /** No node is reachable, which differs from a node that does not answer. */
    @Test
    void aRefusedLineIs429WithRetryAfter() throws Exception {
        caches().forEach(FakeServer::close);
        proxy.origin.close();
        String answer = exchange(request("a1 k"));
        assertEquals("a1 429 0\n\n", body(answer));
        assertTrue(answer.toLowerCase().contains("\r\nretry-after: "), answer);
    }

    @Test
    void anInvalidBodyHasNoEffect() throws Exception {
        StringBuilder tooManyLines = new StringBuilder();
        for (int i = 0; i <= MAX_KEYS; i++) {
            tooManyLines.append("id").append(i).append(" k\n");
        }
        for (String invalidBody : List.of("", "a1 k\na1 m", "a1 k\nnonsense", tooManyLines.toString())) {
            assertTrue(exchange(request(invalidBody)).startsWith("HTTP/1.1 400 "), invalidBody);
        }
        for (String header : List.of("X-Timeout-Ms: soon", "X-Other: 1")) {
            assertTrue(exchange(request("a1 k", header)).startsWith("HTTP/1.1 400 "), header);
        }
        assertTrue(hasNoRequests());
    }

    /** A node would mistake a second request with the same id for a retry of the first. */
    @Test
    void theIdOfAnOpenRequestIs400() throws Exception {
        CompletableFuture<?> first = proxy.send("GET", "/look/k", "", "X-Request-ID", "a1");
        FakeServer.Received openRequest = awaitRequests(1).get("k");
        assertTrue(exchange(request("b2 m\na1 k")).startsWith("HTTP/1.1 400 "));
        assertTrue(hasNoRequests());
        openRequest.answer("200 OK", "v");
        first.get();
    }

    @Test
    void otherPathsAre404AndOtherMethods405() throws Exception {
        assertTrue(exchange(request("a1 k").replace("/multi/account-read", "/multi/note"))
                .startsWith("HTTP/1.1 404 "));
        assertTrue(exchange(request("a1 k").replace("POST /multi", "GET /")).startsWith("HTTP/1.1 404 "));
        String wrongMethod = exchange(request("a1 k").replace("POST", "PUT"));
        assertTrue(wrongMethod.startsWith("HTTP/1.1 405 "), wrongMethod);
        assertTrue(wrongMethod.toLowerCase().contains("\r\nallow: post\r\n"), wrongMethod);
        assertTrue(hasNoRequests());
    }

    @Test
    void aSilentClientGets408() throws Exception {
        assertTrue(exchange("").startsWith("HTTP/1.1 408 "));
    }

    @Test
    void allLinesAreAbandonedWhenTheClientDisconnects() throws Exception {
        InetSocketAddress address = proxy.sidePort("multiget.listen");
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write(request("a1 k\nb2 m").getBytes(StandardCharsets.UTF_8));
            awaitRequests(2);
        }
        proxy.awaitNoOpenRequests();
    }

    @Test
    void aDrainCompletesTheOpenMultiGet() throws Exception {
        String large = "x".repeat(60_000);
        StringBuilder requestBody = new StringBuilder();
        for (int i = 0; i < MAX_KEYS; i++) {
            requestBody.append("id").append(i).append(" k").append(i).append('\n');
        }
        CompletableFuture<String> answer = exchangeAsync(request(requestBody.toString()));
        Map<String, FakeServer.Received> received = awaitRequests(MAX_KEYS);
        Thread drain = new Thread(proxy::drain);
        drain.start();
        received.values().forEach(request -> request.answer("200 OK", large));
        assertEquals(
                MAX_KEYS * large.length(),
                answer.get().chars().filter(c -> c == 'x').count());
        drain.join();
    }
}
