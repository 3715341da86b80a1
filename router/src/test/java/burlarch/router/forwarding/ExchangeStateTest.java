package burlarch.router.forwarding;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.router.forwarding.ExchangeState.Event;
import burlarch.router.forwarding.ExchangeState.NextAttempt;
import burlarch.router.upstream.SendState;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Actions after a send, row by row of the table in {@link ExchangeState}: a non-retryable request is never executed
 * twice, and 503 is never the response to a request that may have been executed.
 */
class ExchangeStateTest {
    private static final Set<SendState> NOT_EXECUTED = EnumSet.of(SendState.NOT_SENT, SendState.REJECTED);

    private static ExchangeState after(SendState... endedSends) {
        return afterSends(ExchangeState.RECEIVING.on(Event.REQUEST_RECEIVED), endedSends);
    }

    private static ExchangeState respondingAfter(SendState... endedSends) {
        return afterSends(ExchangeState.RECEIVING.on(Event.REQUEST_RECEIVED).on(Event.RESPONSE_STARTED), endedSends);
    }

    private static ExchangeState afterSends(ExchangeState initialState, SendState... endedSends) {
        ExchangeState state = initialState;
        for (SendState endedSend : endedSends) {
            state = state.on(Event.ofEndedSend(endedSend));
        }
        return state;
    }

    private static NextAttempt nextAttempt(boolean attemptsLeft, boolean canResume) {
        if (!attemptsLeft) {
            return NextAttempt.NONE;
        }
        return canResume ? NextAttempt.FROM_START_OR_RESUMED : NextAttempt.FROM_START;
    }

    @ParameterizedTest
    @CsvSource({
        "NOT_SENT,         RETRYABLE,     RETRY,               RESPOND_UNAVAILABLE, RESPOND_UNAVAILABLE",
        "REJECTED,         RETRYABLE,     RETRY,               RESPOND_UNAVAILABLE, RESPOND_UNAVAILABLE",
        "PARTLY_SENT,      RETRYABLE,     RETRY,               RESPOND_BAD_GATEWAY, RESPOND_GATEWAY_TIMEOUT",
        "SENT,             RETRYABLE,     RETRY,               RESPOND_BAD_GATEWAY, RESPOND_GATEWAY_TIMEOUT",
        "PARTLY_RESPONDED, RETRYABLE,     RETRY,               RESPOND_BAD_GATEWAY, RESPOND_GATEWAY_TIMEOUT",
        "NOT_SENT,         NOT_RETRYABLE, RETRY,               RESPOND_UNAVAILABLE, RESPOND_UNAVAILABLE",
        "REJECTED,         NOT_RETRYABLE, RETRY,               RESPOND_UNAVAILABLE, RESPOND_UNAVAILABLE",
        "PARTLY_SENT,      NOT_RETRYABLE, RESPOND_BAD_GATEWAY, RESPOND_BAD_GATEWAY, RESPOND_GATEWAY_TIMEOUT",
        "SENT,             NOT_RETRYABLE, RESPOND_BAD_GATEWAY, RESPOND_BAD_GATEWAY, RESPOND_GATEWAY_TIMEOUT",
        "PARTLY_RESPONDED, NOT_RETRYABLE, RESPOND_BAD_GATEWAY, RESPOND_BAD_GATEWAY, RESPOND_GATEWAY_TIMEOUT"
    })
    void actionsBeforeAResponseIsForwarded(
            SendState endedSend,
            RetrySafety safety,
            ExchangeAction withAttempts,
            ExchangeAction withoutAttempts,
            ExchangeAction atDeadline) {
        ExchangeState state = after(endedSend);

        assertThat(state.afterSend(safety, NextAttempt.FROM_START)).isEqualTo(withAttempts);
        assertThat(state.afterSend(safety, NextAttempt.NONE)).isEqualTo(withoutAttempts);
        assertThat(state.withoutFurtherSend()).isEqualTo(withoutAttempts);
        assertThat(state.atDeadline()).isEqualTo(atDeadline);
    }

    @ParameterizedTest
    @CsvSource({
        "RETRYABLE,     true,  true,  RESUME",
        "RETRYABLE,     true,  false, ABORT",
        "RETRYABLE,     false, true,  ABORT",
        "NOT_RETRYABLE, true,  true,  ABORT",
        "NOT_RETRYABLE, true,  false, ABORT"
    })
    void actionsAfterPartOfAResponseIsForwarded(
            RetrySafety safety, boolean attemptsLeft, boolean canResume, ExchangeAction expected) {
        ExchangeState state = respondingAfter(SendState.PARTLY_RESPONDED);

        assertThat(state.afterSend(safety, nextAttempt(attemptsLeft, canResume)))
                .isEqualTo(expected);
        assertThat(state.withoutFurtherSend()).isEqualTo(ExchangeAction.ABORT);
        assertThat(state.atDeadline()).isEqualTo(ExchangeAction.ABORT);
    }

    /** A 503 response states that no send was executed, not only that the last one was not. */
    @ParameterizedTest
    @EnumSource(SendState.class)
    void sendOfUnknownOutcomeExcludes503(SendState unknown) {
        if (NOT_EXECUTED.contains(unknown)) {
            return;
        }
        for (SendState notExecuted : NOT_EXECUTED) {
            assertThat(after(unknown, notExecuted).withoutFurtherSend()).isEqualTo(ExchangeAction.RESPOND_BAD_GATEWAY);
            assertThat(after(notExecuted, unknown).atDeadline()).isEqualTo(ExchangeAction.RESPOND_GATEWAY_TIMEOUT);
            assertThat(after(notExecuted, unknown).afterSend(RetrySafety.NOT_RETRYABLE, nextAttempt(true, true)))
                    .isEqualTo(ExchangeAction.RESPOND_BAD_GATEWAY);
        }
    }

    @Test
    void endedIsFinalAndIllegalEventsAreRejected() {
        for (Event event : Event.values()) {
            assertThat(ExchangeState.ENDED.on(event)).isEqualTo(ExchangeState.ENDED);
        }
        for (ExchangeState state : ExchangeState.values()) {
            assertThat(state.on(Event.ENDED)).isEqualTo(ExchangeState.ENDED);
        }
        assertThatThrownBy(() -> ExchangeState.RECEIVING.on(Event.RESPONSE_STARTED))
                .isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> ExchangeState.NOT_RUN.on(Event.REQUEST_RECEIVED))
                .isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> ExchangeState.RESPONDING.on(Event.RESPONSE_STARTED))
                .isInstanceOf(IllegalStateException.class);
    }
}
