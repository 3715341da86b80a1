package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** A request whose client disconnects while it waits for the first configuration is not forwarded. */
class WaitingClientLeavesTest {
    /** Shorter than the time for which the router lets a request wait. */
    private static final long WAIT_NANOS = 700_000_000;

    private static void awaitWaiting(RouterFixture fixture, int requests) {
        long deadlineNanos = System.nanoTime() + WAIT_NANOS;
        while (fixture.router.waitingRequests() < requests && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
        assertThat(fixture.router.waitingRequests()).isEqualTo(requests);
    }

    @Test
    void waitingRequestOfDisconnectedClientIsNotForwarded() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(
                        (received, socket, output) -> output.write(latin1(completeResponse(received, "", "x"))));
                RouterFixture fixture = RouterFixture.withoutConfiguration(engine)) {
            RawClient client = fixture.client();
            client.send(request("GET", "/idem/a", "gone", "", ""));
            awaitWaiting(fixture, 1);
            client.close();
            try (RawClient waitingClient = fixture.client()) {
                waitingClient.send(request("GET", "/idem/a", "stays", "", ""));
                awaitWaiting(fixture, 2);
                fixture.applyFirstConfiguration();
                assertThat(waitingClient.readResponse().status()).isEqualTo(200);
            }
            assertThat(engine.nextRequest().header("X-Request-Id")).isEqualTo("stays");
            assertThat(engine.requests()).isEqualTo(1);
            assertThat(fixture.planner.placedRequests).hasSize(1);
        }
    }
}
