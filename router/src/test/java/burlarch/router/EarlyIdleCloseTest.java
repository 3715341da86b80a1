package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;

/**
 * An instance drops idle connections earlier than it announces and without closing them: the next request on such a
 * connection is reset and may not be retried.
 */
class EarlyIdleCloseTest {
    private static final int REQUESTS = 60;
    /** Without learned idle timeouts each connection is used a second time, and every other request fails. */
    private static final int MAX_FAILED_REQUESTS = 12;

    @Test
    void fewNonRetryableRequestsAreSentOnDroppedConnections() throws Exception {
        Set<Integer> usedConnections = ConcurrentHashMap.newKeySet();
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> {
                    if (usedConnections.add(received.connection())) {
                        output.write(latin1(completeResponse(received, "Keep-Alive: timeout=9\r\n", "good")));
                    } else {
                        socket.setSoLinger(true, 0);
                        socket.close();
                    }
                });
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            int failed = 0;
            for (int i = 0; i < REQUESTS; i++) {
                String body = client.exchange(request("POST", "/once/a", "call" + i, "", "x"))
                        .body();
                failed += body.equals("good") ? 0 : 1;
            }
            assertThat(failed).isBetween(1, MAX_FAILED_REQUESTS);
        }
    }
}
