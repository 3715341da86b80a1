package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connection resets by the network, while the nodes behind it are healthy. */
@Timeout(60)
class BrokenConnectionsTest {
    /** Together with the orders below fewer than a throttle admits at once at its initial capacity. */
    private static final int RESET_COUNT = 5;

    private static final int ORDER_COUNT = 12;
    private static final int MAX_CONCURRENT_CONNECTS = 4;

    @Test
    void connectionResetsDoNotThrottleOrigin() throws Exception {
        try (Fixture fixture = new Fixture()) {
            for (int i = 0; i < RESET_COUNT; i++) {
                CompletableFuture<HttpResponse<String>> order = fixture.send("PUT", "/order/k" + i, "v");
                fixture.origin.next().reset();
                assertEquals(502, order.get().statusCode(), "the order may have run");
            }
            fixture.origin.answerWith("200 OK", "done");
            // Sequentially, as slow responses would count as a sign of overload.
            for (int i = 0; i < ORDER_COUNT; i++) {
                assertEquals(200, fixture.send("PUT", "/order/m" + i, "v").get().statusCode());
            }
        }
    }

    /** Without a Retry-After header the client would retry at once. */
    @Test
    void readIsRefusedWithRetryAfterIfAllAttemptsAreReset() throws Exception {
        try (Fixture fixture = new Fixture()) {
            fixture.cache.resetAll();
            fixture.origin.resetAll();
            HttpResponse<String> response = fixture.read("k").get();
            assertEquals(429, response.statusCode());
            assertTrue(response.headers().firstValue("Retry-After").isPresent());
        }
    }

    /**
     * More calls than the pool opens connections for at once. The first ones are reset and fail, as they may have
     * run; the others must not wait in vain for one of the broken connections.
     */
    @Test
    void waitingCallsConnectAfterOtherConnectionsBreak() throws Exception {
        try (Fixture fixture = new Fixture()) {
            List<CompletableFuture<HttpResponse<String>>> orders = new ArrayList<>();
            // Shorter than the connect time-out, after which a waiting call would request a new connection anyway.
            for (int i = 0; i < 2 * MAX_CONCURRENT_CONNECTS; i++) {
                orders.add(fixture.send("PUT", "/order/k" + i, "v", "X-Timeout-Ms", "4000"));
            }
            List<FakeServer.Received> firstRequests = new ArrayList<>();
            for (int i = 0; i < MAX_CONCURRENT_CONNECTS; i++) {
                firstRequests.add(fixture.origin.next());
            }
            firstRequests.forEach(FakeServer.Received::reset);
            for (int i = 0; i < MAX_CONCURRENT_CONNECTS; i++) {
                fixture.origin.next().answer("200 OK", "done");
            }
            int servedCount = 0;
            for (CompletableFuture<HttpResponse<String>> order : orders) {
                servedCount += order.get().statusCode() == 200 ? 1 : 0;
            }
            assertEquals(MAX_CONCURRENT_CONNECTS, servedCount);
        }
    }
}
