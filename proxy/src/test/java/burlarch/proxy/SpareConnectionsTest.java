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
    /** Idle ones are kept for 6 s; each refused connection leaves a quarter of 12 s for those to spare. */
    private static final String SETTINGS =
            Fixture.SETTINGS.replace("\"idle_close_ns\":60000000000", "\"idle_close_ns\":12000000000");

    @Test
    void aProxyThatMeetsAFullTableKeepsOneIdleConnectionAndServesOn() throws Exception {
        try (Fixture f = new Fixture(List.of(), Fixture.SOCKETS, Features.none(), SETTINGS)) {
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            List<FakeServer.Received> held = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                answers.add(f.send("PUT", "/note/k" + i, "v", "Idempotency-Key", "key-" + i));
                held.add(f.origin.next());
            }
            answers.add(f.send("PUT", "/note/k3", "v", "Idempotency-Key", "key-3"));
            for (int i = 0; i < 3; i++) {
                f.origin.next().answer("503 Service Unavailable", "", "X-Not-Processed: 1",
                        "Connection: close");
            }
            for (FakeServer.Received request : held) {
                request.answer("200 OK", "");
            }
            FakeServer.Received last = f.origin.next();
            last.answer("200 OK", "");
            for (CompletableFuture<HttpResponse<String>> answer : answers) {
                assertEquals(200, answer.get().statusCode());
            }
            held.removeIf(request -> request.channel == last.channel);
            for (FakeServer.Received request : held) {
                request.channel.closeFuture().sync();
            }
            int connections = f.origin.connections.get();
            CompletableFuture<HttpResponse<String>> next =
                    f.send("PUT", "/note/k4", "v", "Idempotency-Key", "key-4");
            f.origin.next().answer("200 OK", "");
            assertEquals(200, next.get().statusCode());
            assertTrue(last.channel.isActive(), "the connection used last is kept");
            assertEquals(connections, f.origin.connections.get(), "and used again");
        }
    }
}
