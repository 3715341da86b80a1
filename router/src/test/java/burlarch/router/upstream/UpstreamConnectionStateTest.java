package burlarch.router.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.router.upstream.UpstreamConnectionState.Event;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class UpstreamConnectionStateTest {
    @ParameterizedTest
    @CsvSource({
        "IDLE,              CALL_STARTED,      WRITING",
        "WRITING,           WRITE_COMPLETE,    AWAITING_RESPONSE",
        "WRITING,           RESPONSE_COMPLETE, AWAITING_WRITE",
        "AWAITING_RESPONSE, RESPONSE_COMPLETE, IDLE",
        "AWAITING_WRITE,    WRITE_COMPLETE,    IDLE"
    })
    void callRunsThroughTheStates(UpstreamConnectionState state, Event event, UpstreamConnectionState next) {
        assertThat(state.on(event)).isEqualTo(next);
    }

    @ParameterizedTest
    @EnumSource(UpstreamConnectionState.class)
    void closeLeadsFromEveryStateToTheFinalOne(UpstreamConnectionState state) {
        assertThat(state.on(Event.CLOSE)).isEqualTo(UpstreamConnectionState.CLOSED);
        for (Event event : Event.values()) {
            assertThat(UpstreamConnectionState.CLOSED.on(event)).isEqualTo(UpstreamConnectionState.CLOSED);
        }
    }

    @Test
    void noSecondCallWhileOneIsInFlight() {
        for (UpstreamConnectionState busy : UpstreamConnectionState.values()) {
            if (busy != UpstreamConnectionState.IDLE && busy != UpstreamConnectionState.CLOSED) {
                assertThatThrownBy(() -> busy.on(Event.CALL_STARTED)).isInstanceOf(IllegalStateException.class);
            }
        }
    }
}
