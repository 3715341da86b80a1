package burlarch.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The table of what may follow a send, row by row: a request that may not be repeated never runs twice, and
 * 503 is never said of one that may have run.
 */
class RequestProgressTest {
    private static final Set<SendState> HARMLESS = EnumSet.of(SendState.NOT_SENT, SendState.REJECTED);

    private static RequestProgress after(boolean repeatable, boolean answerBegun, SendState... ends) {
        RequestProgress progress = new RequestProgress(repeatable);
        if (answerBegun) {
            progress.answerBegins();
        }
        for (SendState end : ends) {
            progress.sendEnded(end);
        }
        return progress;
    }

    @ParameterizedTest
    @CsvSource({
        "NOT_SENT,         true,  SEND_AGAIN, REFUSE, REFUSE",
        "REJECTED,         true,  SEND_AGAIN, REFUSE, REFUSE",
        "PARTLY_SENT,      true,  SEND_AGAIN, FAIL,   TIME_OUT",
        "SENT,             true,  SEND_AGAIN, FAIL,   TIME_OUT",
        "ANSWERED_IN_PART, true,  SEND_AGAIN, FAIL,   TIME_OUT",
        "NOT_SENT,         false, SEND_AGAIN, REFUSE, REFUSE",
        "REJECTED,         false, SEND_AGAIN, REFUSE, REFUSE",
        "PARTLY_SENT,      false, FAIL,       FAIL,   TIME_OUT",
        "SENT,             false, FAIL,       FAIL,   TIME_OUT",
        "ANSWERED_IN_PART, false, FAIL,       FAIL,   TIME_OUT"
    })
    void nothingPassedOnYet(
            SendState last, boolean repeatable, FollowUp withSends, FollowUp withoutSends, FollowUp atDeadline) {
        RequestProgress progress = after(repeatable, false, last);
        assertThat(progress.afterSend(true, false)).isEqualTo(withSends);
        assertThat(progress.afterSend(false, false)).isEqualTo(withoutSends);
        assertThat(progress.withoutSend()).isEqualTo(withoutSends);
        assertThat(progress.atDeadline()).isEqualTo(atDeadline);
    }

    @ParameterizedTest
    @CsvSource({
        "true,  true,  true,  RESUME",
        "true,  true,  false, CUT",
        "true,  false, true,  CUT",
        "false, true,  true,  CUT",
        "false, true,  false, CUT"
    })
    void partOfAnAnswerPassedOn(boolean repeatable, boolean sendsLeft, boolean canResume, FollowUp expected) {
        RequestProgress progress = after(repeatable, true, SendState.ANSWERED_IN_PART);
        assertThat(progress.afterSend(sendsLeft, canResume)).isEqualTo(expected);
        assertThat(progress.withoutSend()).isEqualTo(FollowUp.CUT);
        assertThat(progress.atDeadline()).isEqualTo(FollowUp.CUT);
    }

    /** A promise has to hold for all sends, not for the last only. */
    @ParameterizedTest
    @EnumSource(SendState.class)
    void oneUnclearSendTakesThePromiseBack(SendState unclear) {
        if (HARMLESS.contains(unclear)) {
            return;
        }
        for (SendState later : HARMLESS) {
            assertThat(after(true, false, unclear, later).withoutSend()).isEqualTo(FollowUp.FAIL);
            assertThat(after(true, false, later, unclear).atDeadline()).isEqualTo(FollowUp.TIME_OUT);
            assertThat(after(false, false, later, unclear).afterSend(true, true))
                    .isEqualTo(FollowUp.FAIL);
        }
    }

    @Test
    void nothingFollowsAnEnd() {
        for (SendState end : EnumSet.of(SendState.REJECTED, SendState.ANSWERED)) {
            for (SendState next : SendState.values()) {
                assertThatThrownBy(() -> end.to(next)).isInstanceOf(IllegalStateException.class);
            }
        }
        assertThatThrownBy(() -> SendState.SENT.to(SendState.NOT_SENT)).isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> SendState.ANSWERED_IN_PART.to(SendState.REJECTED))
                .isInstanceOf(IllegalStateException.class);
    }
}
