package burlarch.routing.planner;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.AttemptOutcome;
import burlarch.routing.admission.RetryBudget;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {
    private static final double SLACK = 3;

    private final RetryBudget budget = new RetryBudget(0, 10, SLACK);
    private final AttemptHistory history = new AttemptHistory();

    RetryPolicyTest() {
        budget.onLiveRouters(1, 0);
    }

    private boolean budgetAllowsAfter(int attempt, AttemptHistory.PreviousAttempts previous) {
        for (int i = 0; i < SLACK; i++) {
            RetryPolicy.countSend(budget, previous, attempt, 0);
        }
        return budget.allows(0);
    }

    /** Otherwise a burst of failures, in which requests are evicted from the history, would enlarge the budget. */
    @Test
    void aRetryOfWhichNothingIsRetainedCountsAsARetry() {
        assertThat(budgetAllowsAfter(1, AttemptHistory.NONE)).isFalse();
    }

    @Test
    void aFirstAttemptIsNoRetry() {
        assertThat(budgetAllowsAfter(0, AttemptHistory.NONE)).isTrue();
    }

    @Test
    void aRetryAfterAnAttemptThatReachedNoInstanceIsNotCounted() {
        history.onEnded("r", "i", AttemptOutcome.NOT_CONNECTED);
        assertThat(budgetAllowsAfter(1, history.of("r"))).isTrue();
    }
}
