package burlarch.router.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.router.upstream.UpstreamConnectionState.Event;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Transitions of a connection to an instance. */
class UpstreamConnectionStateTest {
    @ParameterizedTest
    @CsvSource({
        "IDLE,              CALL_STARTED,      WRITING",
        "WRITING,           WRITE_COMPLETE,    AWAITING_RESPONSE",
        "WRITING,           RESPONSE_COMPLETE, AWAITING_WRITE",
        "AWAITING_RESPONSE, RESPONSE_COMPLETE, IDLE",
        "AWAITING_WRITE,    WRITE_COMPLETE,    IDLE"
    })
    void eventLeadsToTheNextState(UpstreamConnectionState state, Event event, UpstreamConnectionState nextState) {
        assertThat(state.on(event)).isEqualTo(nextState);
    }

    @ParameterizedTest
    @EnumSource(UpstreamConnectionState.class)
    void closeLeadsFromEveryStateToClosed(UpstreamConnectionState state) {
        assertThat(state.on(Event.CLOSE)).isEqualTo(UpstreamConnectionState.CLOSED);
        for (Event event : Event.values()) {
            assertThat(UpstreamConnectionState.CLOSED.on(event)).isEqualTo(UpstreamConnectionState.CLOSED);
        }
    }

    @Test
    void secondCallWhileOneIsInFlightIsIllegal() {
        for (UpstreamConnectionState state : UpstreamConnectionState.values()) {
            if (state != UpstreamConnectionState.IDLE && state != UpstreamConnectionState.CLOSED) {
                assertThatThrownBy(() -> state.on(Event.CALL_STARTED)).isInstanceOf(IllegalStateException.class);
            }
        }
    }
}
