package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** An exception in the router while it forwards a response: the attempt must still be reported to the planner. */
class InternalErrorTest {
    @Test
    void attemptInFlightIsReportedToThePlannerOnce() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(
                        (received, socket, output) -> output.write(latin1(completeResponse(received, "", "good"))));
                RouterFixture fixture = new RouterFixture(engine)) {
            fixture.planner.failureAtFirstEvent = new IllegalStateException("planted");
            try (RawClient client = fixture.client()) {
                client.send(request("POST", "/once/a", "failed", "", "x"));
                assertThat(fixture.planner.nextEndedAttempt().outcome()).isEqualTo(AttemptOutcome.CANCELLED);
            }
            fixture.planner.failureAtFirstEvent = null;
            try (RawClient client = fixture.client()) {
                assertThat(client.exchange(request("POST", "/once/a", "next", "", "x"))
                                .body())
                        .isEqualTo("good");
            }
            assertThat(fixture.planner.nextEndedAttempt().outcome()).isEqualTo(AttemptOutcome.ANSWERED);
            assertThat(fixture.planner.endedAttempts).isEmpty();
        }
    }
}
