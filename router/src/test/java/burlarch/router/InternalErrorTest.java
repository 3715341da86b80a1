package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.ascii;
import static burlarch.router.ScriptedEngine.whole;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** A fault of the router itself in the middle of a request. */
class InternalErrorTest {
    @Test
    void theAttemptInFlightIsReportedToThePlannerOnce() throws Exception {
        try (ScriptedEngine engine =
                        new ScriptedEngine((received, socket, out) -> out.write(ascii(whole(received, "", "good"))));
                RouterFixture fixture = new RouterFixture(engine)) {
            fixture.planner.failureAtFirstEvent = new IllegalStateException("planted");
            try (RawClient client = fixture.client()) {
                client.send(request("POST", "/once/a", "failed", "", "x"));
                assertThat(fixture.planner.nextEnded().outcome()).isEqualTo(AttemptOutcome.CANCELLED);
            }
            fixture.planner.failureAtFirstEvent = null;
            try (RawClient client = fixture.client()) {
                assertThat(client.ask(request("POST", "/once/a", "next", "", "x"))
                                .body())
                        .isEqualTo("good");
            }
            assertThat(fixture.planner.nextEnded().outcome()).isEqualTo(AttemptOutcome.ANSWERED);
            assertThat(fixture.planner.ended).isEmpty();
        }
    }
}
