package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Idle connections to nodes that are short of connection slots, which all proxies share. */
class IdleConnectionTrimTest {
    @Test
    void idleConnectionsToNodeWithoutFreeSlotsAreClosedSoon() throws Exception {
        try (Fixture fixture = new Fixture()) {
            CompletableFuture<HttpResponse<String>> readResponse = fixture.read("k");
            FakeServer.Received cacheRequest = fixture.cache.next();
            cacheRequest.answer("200 OK", "v");
            assertEquals(200, readResponse.get().statusCode());
            List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
            List<FakeServer.Received> openOriginRequests = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                responses.add(fixture.send("PUT", "/note/k" + i, "v", "Idempotency-Key", "key-" + i));
                openOriginRequests.add(fixture.origin.next());
            }
            responses.add(fixture.send("PUT", "/note/k3", "v", "Idempotency-Key", "key-3"));
            fixture.origin.next().answer("503 Service Unavailable", "", "X-Not-Processed: 1", "Connection: close");
            for (FakeServer.Received request : openOriginRequests) {
                request.answer("200 OK", "");
            }
            fixture.origin.next().answer("200 OK", "");
            for (CompletableFuture<HttpResponse<String>> response : responses) {
                assertEquals(200, response.get().statusCode());
            }
            for (FakeServer.Received request : openOriginRequests) {
                request.channel.closeFuture().sync();
            }
            assertTrue(cacheRequest.channel.isActive(), "idle for longer, at a node that has free connection slots");
        }
    }
}
