package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests from client to node and back, over loopback sockets. */
@Timeout(60)
class ServingTest {
    @Test
    void requestAndResponseAreForwardedUnchanged() throws Exception {
        try (Fixture fixture = new Fixture()) {
            CompletableFuture<HttpResponse<String>> response =
                    fixture.send("GET", "/look/7f3a9c21e0b4d655?a=1&b=%20", "", "X-Request-ID", "9b1f03aa5c7e2d41");
            FakeServer.Received nodeRequest = fixture.cache.next();
            assertEquals("GET", nodeRequest.method);
            assertEquals("/look/7f3a9c21e0b4d655?a=1&b=%20", nodeRequest.uri);
            assertEquals("9b1f03aa5c7e2d41", nodeRequest.headers.get("X-Request-ID"));
            int timeoutMs = Integer.parseInt(nodeRequest.headers.get("X-Timeout-Ms"));
            assertTrue(timeoutMs > 0 && timeoutMs < 15_000, "X-Timeout-Ms is " + timeoutMs + " ms");
            nodeRequest.answer("200 OK", "value", "X-Server-Load: eps=0,queue=1", "X-Cache-Status: hit");
            assertEquals(200, response.get().statusCode());
            assertEquals("value", response.get().body());
            assertTrue(fixture.origin.hasNoRequests());
        }
    }

    @Test
    void cacheMissIsFetchedFromOrigin() throws Exception {
        try (Fixture fixture = new Fixture()) {
            CompletableFuture<HttpResponse<String>> response = fixture.read("k");
            fixture.cache.next().answer("404 Not Found", "no");
            fixture.origin.next().answer("200 OK", "from the origin");
            assertEquals(200, response.get().statusCode());
            assertEquals("from the origin", response.get().body());
        }
    }

    @Test
    void writeIsForwardedToOriginWithBodyAndIdempotencyKey() throws Exception {
        try (Fixture fixture = new Fixture()) {
            CompletableFuture<HttpResponse<String>> response =
                    fixture.send("PUT", "/note/k", "the value", "Idempotency-Key", "key-1");
            FakeServer.Received nodeRequest = fixture.origin.next();
            assertEquals("PUT", nodeRequest.method);
            assertEquals("the value", nodeRequest.body);
            assertEquals("key-1", nodeRequest.headers.get("Idempotency-Key"));
            nodeRequest.answer("200 OK", "");
            assertEquals(200, response.get().statusCode());
            assertTrue(fixture.cache.hasNoRequests());
        }
    }

    @Test
    void connectionToNodeIsReused() throws Exception {
        try (Fixture fixture = new Fixture()) {
            for (int i = 0; i < 5; i++) {
                CompletableFuture<HttpResponse<String>> response = fixture.read("k" + i);
                fixture.cache.next().answer("200 OK", "v" + i);
                assertEquals("v" + i, response.get().body());
            }
            assertEquals(1, fixture.cache.connections.get());
        }
    }

    @Test
    void newConnectionIsOpenedAfterNodeClosesOne() throws Exception {
        try (Fixture fixture = new Fixture()) {
            CompletableFuture<HttpResponse<String>> response = fixture.read("k");
            fixture.cache.next().answer("200 OK", "v", "Connection: close");
            assertEquals("v", response.get().body());
            response = fixture.read("k");
            fixture.cache.next().answer("200 OK", "w");
            assertEquals("w", response.get().body());
            assertEquals(2, fixture.cache.connections.get());
        }
    }

    /** The request may have had its effect: a refusal would tell the client that a retry is harmless. */
    @Test
    void sideEffectWriteFailsAfterResetAndIsNotRetried() throws Exception {
        try (Fixture fixture = new Fixture()) {
            CompletableFuture<HttpResponse<String>> response = fixture.send("PUT", "/order/k", "v");
            fixture.origin.next().reset();
            assertEquals(502, response.get().statusCode());
            assertTrue(fixture.origin.hasNoRequests());
        }
    }

    @Test
    void sideEffectWriteFailsAfterPlain503() throws Exception {
        try (Fixture fixture = new Fixture()) {
            fixture.origin.answerWith("503 Service Unavailable", "");
            assertEquals(502, fixture.send("PUT", "/order/k", "v").get().statusCode());
        }
    }

    @Test
    void sideEffectWriteIsRefusedAfter503NotProcessed() throws Exception {
        try (Fixture fixture = new Fixture()) {
            fixture.origin.answerWith("503 Service Unavailable", "", "X-Not-Processed: 1\r\n");
            assertEquals(429, fixture.send("PUT", "/order/k", "v").get().statusCode());
        }
    }

    @Test
    void sideEffectWriteIsRefusedIfOriginIsUnreachable() throws Exception {
        try (Fixture fixture = new Fixture()) {
            fixture.origin.close();
            assertEquals(429, fixture.send("PUT", "/order/k", "v").get().statusCode());
        }
    }

    /** The module ends a read at its target latency, although the cache never responds. */
    @Test
    void readFromSilentCacheIsRefusedAtTargetLatency() throws Exception {
        try (Fixture fixture = new Fixture()) {
            HttpResponse<String> response = fixture.send("GET", "/quick/k", "").get();
            assertEquals(429, response.statusCode());
            assertFalse(fixture.cache.hasNoRequests());
        }
    }

    @Test
    void requestWithOneMillisecondTimeoutGetsResponse() throws Exception {
        try (Fixture fixture = new Fixture()) {
            int status = fixture.send("GET", "/look/k", "", "X-Timeout-Ms", "1")
                    .get()
                    .statusCode();
            assertTrue(status == 429 || status == 504, "unexpected status " + status);
        }
    }

    @Test
    void requestOfUnknownTenantIsServed() throws Exception {
        try (Fixture fixture = new Fixture()) {
            fixture.cache.answerWith("200 OK", "v");
            assertEquals(
                    "v",
                    fixture.send("GET", "/look/k", "", "X-Tenant-Id", "nobody")
                            .get()
                            .body());
        }
    }

    /** Pipelined requests: the second one is sent to its node only after the first one's response. */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (Fixture fixture = new Fixture();
                Socket socket = new Socket(fixture.address.getAddress(), fixture.address.getPort())) {
            socket.getOutputStream()
                    .write((BadInputTest.request("GET", "/look/a", "")
                                    + BadInputTest.request("GET", "/look/b", "", "Connection: close"))
                            .getBytes(StandardCharsets.UTF_8));
            FakeServer.Received firstRequest = fixture.cache.next();
            assertEquals("/look/a", firstRequest.uri);
            assertTrue(fixture.cache.hasNoRequests());
            firstRequest.answer("200 OK", "first");
            fixture.cache.next().answer("200 OK", "second");
            String responses = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(
                    responses.indexOf("first") > 0 && responses.indexOf("first") < responses.indexOf("second"),
                    responses);
        }
    }

    /** The client has disconnected; the late response must not reach another client. */
    @Test
    void lateResponseForDisconnectedClientReachesNoOther() throws Exception {
        try (Fixture fixture = new Fixture()) {
            Socket socket = new Socket(fixture.address.getAddress(), fixture.address.getPort());
            socket.getOutputStream()
                    .write(BadInputTest.request("GET", "/look/a", "").getBytes(StandardCharsets.UTF_8));
            FakeServer.Received abandonedRequest = fixture.cache.next();
            socket.close();
            CompletableFuture<HttpResponse<String>> otherResponse = fixture.read("b");
            FakeServer.Received nodeRequest = fixture.cache.next();
            abandonedRequest.answer("200 OK", "of a");
            nodeRequest.answer("200 OK", "of b");
            assertEquals("of b", otherResponse.get().body());
        }
    }

    @Test
    void healthCheckReturns200OnceReady() throws Exception {
        try (Fixture fixture = new Fixture()) {
            assertTrue(fixture.raw("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    .startsWith("HTTP/1.1 200 "));
        }
    }
}
