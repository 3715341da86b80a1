package burlarch.coordination.ownership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.coordination.ownership.LeaseState.Event;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks every entry of the transition table of {@link LeaseState}; an empty entry is an impossible event. */
class LeaseStateTest {
    @ParameterizedTest
    @CsvSource({
        "UNCLAIMED,       CLAIM_SENT,     CLAIMING",
        "UNCLAIMED,       CLAIM_REJECTED, ",
        "UNCLAIMED,       GRANTED_FREE,   ",
        "UNCLAIMED,       GRANTED_IN_USE, ",
        "UNCLAIMED,       WAIT_ELAPSED,   ",
        "UNCLAIMED,       SUPERSEDED,     ",
        "UNCLAIMED,       EXPIRED,        ",
        "UNCLAIMED,       RELEASED,       ",
        "CLAIMING,        CLAIM_SENT,     ",
        "CLAIMING,        CLAIM_REJECTED, UNCLAIMED",
        "CLAIMING,        GRANTED_FREE,   OWNED",
        "CLAIMING,        GRANTED_IN_USE, AWAITING_EXPIRY",
        "CLAIMING,        WAIT_ELAPSED,   ",
        "CLAIMING,        SUPERSEDED,     ",
        "CLAIMING,        EXPIRED,        ",
        "CLAIMING,        RELEASED,       UNCLAIMED",
        "AWAITING_EXPIRY, CLAIM_SENT,     ",
        "AWAITING_EXPIRY, CLAIM_REJECTED, ",
        "AWAITING_EXPIRY, GRANTED_FREE,   ",
        "AWAITING_EXPIRY, GRANTED_IN_USE, ",
        "AWAITING_EXPIRY, WAIT_ELAPSED,   OWNED",
        "AWAITING_EXPIRY, SUPERSEDED,     LOST",
        "AWAITING_EXPIRY, EXPIRED,        LOST",
        "AWAITING_EXPIRY, RELEASED,       UNCLAIMED",
        "OWNED,           CLAIM_SENT,     ",
        "OWNED,           CLAIM_REJECTED, ",
        "OWNED,           GRANTED_FREE,   ",
        "OWNED,           GRANTED_IN_USE, ",
        "OWNED,           WAIT_ELAPSED,   ",
        "OWNED,           SUPERSEDED,     LOST",
        "OWNED,           EXPIRED,        LOST",
        "OWNED,           RELEASED,       UNCLAIMED",
        "LOST,            CLAIM_SENT,     ",
        "LOST,            CLAIM_REJECTED, ",
        "LOST,            GRANTED_FREE,   ",
        "LOST,            GRANTED_IN_USE, ",
        "LOST,            WAIT_ELAPSED,   ",
        "LOST,            SUPERSEDED,     ",
        "LOST,            EXPIRED,        ",
        "LOST,            RELEASED,       UNCLAIMED"
    })
    void transitionMatchesTheTable(LeaseState state, Event event, LeaseState next) {
        if (next == null) {
            assertThatThrownBy(() -> state.after(event)).isInstanceOf(IllegalStateException.class);
        } else {
            assertThat(state.after(event)).isEqualTo(next);
        }
    }
}
