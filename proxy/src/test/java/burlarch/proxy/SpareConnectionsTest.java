package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Connections at a node are few and shared by all proxies. */
class SpareConnectionsTest {
    @Test
    void aProxyThatMeetsAFullTableLetsItsIdleConnectionsThereGoSoon() throws Exception {
        try (Fixture f = new Fixture()) {
            CompletableFuture<HttpResponse<String>> read = f.read("k");
            FakeServer.Received elsewhere = f.cache.next();
            elsewhere.answer("200 OK", "v");
            assertEquals(200, read.get().statusCode());
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            List<FakeServer.Received> held = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                answers.add(f.send("PUT", "/note/k" + i, "v", "Idempotency-Key", "key-" + i));
                held.add(f.origin.next());
            }
            answers.add(f.send("PUT", "/note/k3", "v", "Idempotency-Key", "key-3"));
            f.origin.next().answer("503 Service Unavailable", "", "X-Not-Processed: 1", "Connection: close");
            for (FakeServer.Received request : held) {
                request.answer("200 OK", "");
            }
            f.origin.next().answer("200 OK", "");
            for (CompletableFuture<HttpResponse<String>> answer : answers) {
                assertEquals(200, answer.get().statusCode());
            }
            for (FakeServer.Received request : held) {
                request.channel.closeFuture().sync();
            }
            assertTrue(elsewhere.channel.isActive(), "idle for longer, at a node that has places");
        }
    }
}
