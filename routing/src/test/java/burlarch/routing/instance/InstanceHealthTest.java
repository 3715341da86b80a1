package burlarch.routing.instance;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.AttemptOutcome;
import org.junit.jupiter.api.Test;

class InstanceHealthTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long START = -5_000 * SECOND;
    private final InstanceHealth health = new InstanceHealth();

    private void endAttempt(AttemptOutcome outcome, long sentOffset, long nowOffset) {
        health.onEnded(outcome, health.onSent(), START + sentOffset, START + nowOffset);
    }

    @Test
    void aNewInstanceIsAvailable() {
        assertThat(health.isEjected(START)).isFalse();
        assertThat(health.isCoolingDown(START)).isFalse();
    }

    @Test
    void aFailureOfOneRequestDoesNotEjectTheInstance() {
        endAttempt(AttemptOutcome.FAILED, 0, 1);
        endAttempt(AttemptOutcome.ANSWERED, 0, 2);
        endAttempt(AttemptOutcome.FAILED, 0, 3);
        endAttempt(AttemptOutcome.FAILED, 0, 4);
        assertThat(health.isEjected(START + 5)).isFalse();
        endAttempt(AttemptOutcome.FAILED, 0, 6);
        assertThat(health.isEjected(START + 7)).isTrue();
    }

    @Test
    void backoffsDoubleUpToEightSecondsAndEndWithOneTrial() {
        long nowOffset = 0;
        for (long backoffSeconds : new long[] {1, 2, 4, 8, 8}) {
            endAttempt(AttemptOutcome.NOT_CONNECTED, nowOffset, nowOffset);
            assertThat(health.isEjected(START + nowOffset + backoffSeconds * SECOND - 1))
                    .isTrue();
            nowOffset += backoffSeconds * SECOND;
            assertThat(health.isEjected(START + nowOffset)).isFalse();
        }
        boolean trial = health.onSent();
        assertThat(trial).isTrue();
        assertThat(health.isEjected(START + nowOffset))
                .as("one trial at a time")
                .isTrue();
        health.onEnded(AttemptOutcome.ANSWERED, trial, START + nowOffset, START + nowOffset + 1);
        assertThat(health.isOutlier()).isFalse();
        endAttempt(AttemptOutcome.NOT_CONNECTED, nowOffset + 2, nowOffset + 3);
        assertThat(health.isEjected(START + nowOffset + SECOND + 4))
                .as("the backoff starts over")
                .isFalse();
    }

    @Test
    void failuresOfAttemptsSentBeforeTheEjectionDoNotProlongIt() {
        endAttempt(AttemptOutcome.NOT_CONNECTED, 0, 1);
        for (int i = 0; i < 20; i++) {
            endAttempt(AttemptOutcome.BROKEN, 0, 2 + i);
        }
        assertThat(health.isEjected(START + SECOND + 1)).isFalse();
    }

    @Test
    void rejectionsCauseACooldownOfAFewHundredMillisecondsAtMost() {
        endAttempt(AttemptOutcome.REJECTED, 0, 0);
        assertThat(health.isCoolingDown(START + SECOND / 20)).isTrue();
        assertThat(health.isCoolingDown(START + SECOND / 10)).isFalse();
        for (int i = 0; i < 10; i++) {
            endAttempt(AttemptOutcome.REJECTED, 0, 0);
        }
        assertThat(health.isCoolingDown(START + 3 * SECOND / 10)).isFalse();
        assertThat(health.isEjected(START + 1)).isFalse();
    }
}
