package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.AttemptOutcome;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When a client disconnects, its request is cancelled at the instance and not retried. */
class ClientLeavesTest {
    private static final long WAIT_SECONDS = 5;

    /** Returns a script that does not respond and counts down when its peer has closed the connection. */
    private static ScriptedEngine.Script unresponsiveUntilClosed(CountDownLatch closed) {
        return (received, socket, output) -> {
            if (socket.getInputStream().read() < 0) {
                closed.countDown();
            }
        };
    }

    @ParameterizedTest
    @ValueSource(strings = {"/idem/a", "/once/a", "/stream/a", "/resume/a"})
    void requestOfDisconnectedClientIsCancelledAndNotRetried(String path) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        try (ScriptedEngine engine = new ScriptedEngine(unresponsiveUntilClosed(closed));
                ScriptedEngine otherEngine = new ScriptedEngine(
                        (received, socket, output) -> output.write(latin1(completeResponse(received, "", "x"))));
                RouterFixture fixture = new RouterFixture(engine, otherEngine)) {
            RawClient client = fixture.client();
            client.send(request("POST", path, "id", "", "x"));
            engine.nextRequest();
            client.close();
            assertThat(closed.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            assertThat(fixture.planner.nextEndedAttempt().outcome()).isEqualTo(AttemptOutcome.CANCELLED);
            try (RawClient nextClient = fixture.client()) {
                fixture.planner.setAddresses(otherEngine.address());
                assertThat(nextClient
                                .exchange(request("POST", "/idem/b", "next", "", ""))
                                .status())
                        .isEqualTo(200);
            }
            assertThat(otherEngine.nextRequest().header("X-Request-Id")).isEqualTo("next");
            assertThat(otherEngine.requests()).isEqualTo(1);
        }
    }
}
