package burlarch.coordination.register.proposal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.coordination.register.proposal.ProposalState.Event;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks every entry of the transition table of {@link ProposalState}; an empty entry is an impossible event. */
class ProposalStateTest {
    @ParameterizedTest
    @CsvSource({
        "NEW,             STARTED,         PREPARING",
        "NEW,             REJECTED,        ",
        "NEW,             BACKOFF_ELAPSED, ",
        "NEW,             WRITE_READY,     ",
        "NEW,             STEP_CHOSEN,     ",
        "NEW,             ENDED,           ",
        "PREPARING,       STARTED,         ",
        "PREPARING,       REJECTED,        PREPARE_BACKOFF",
        "PREPARING,       BACKOFF_ELAPSED, ",
        "PREPARING,       WRITE_READY,     ACCEPTING",
        "PREPARING,       STEP_CHOSEN,     ",
        "PREPARING,       ENDED,           FINISHED",
        "PREPARE_BACKOFF, STARTED,         ",
        "PREPARE_BACKOFF, REJECTED,        ",
        "PREPARE_BACKOFF, BACKOFF_ELAPSED, PREPARING",
        "PREPARE_BACKOFF, WRITE_READY,     ACCEPTING",
        "PREPARE_BACKOFF, STEP_CHOSEN,     ",
        "PREPARE_BACKOFF, ENDED,           FINISHED",
        "ACCEPTING,       STARTED,         ",
        "ACCEPTING,       REJECTED,        ACCEPT_BACKOFF",
        "ACCEPTING,       BACKOFF_ELAPSED, ",
        "ACCEPTING,       WRITE_READY,     ",
        "ACCEPTING,       STEP_CHOSEN,     PREPARING",
        "ACCEPTING,       ENDED,           FINISHED",
        "ACCEPT_BACKOFF,  STARTED,         ",
        "ACCEPT_BACKOFF,  REJECTED,        ",
        "ACCEPT_BACKOFF,  BACKOFF_ELAPSED, PREPARING",
        "ACCEPT_BACKOFF,  WRITE_READY,     ",
        "ACCEPT_BACKOFF,  STEP_CHOSEN,     PREPARING",
        "ACCEPT_BACKOFF,  ENDED,           FINISHED",
        "FINISHED,        STARTED,         ",
        "FINISHED,        REJECTED,        ",
        "FINISHED,        BACKOFF_ELAPSED, ",
        "FINISHED,        WRITE_READY,     ",
        "FINISHED,        STEP_CHOSEN,     ",
        "FINISHED,        ENDED,           "
    })
    void transitionMatchesTheTable(ProposalState state, Event event, ProposalState next) {
        if (next == null) {
            assertThatThrownBy(() -> state.after(event)).isInstanceOf(IllegalStateException.class);
        } else {
            assertThat(state.after(event)).isEqualTo(next);
        }
    }
}
