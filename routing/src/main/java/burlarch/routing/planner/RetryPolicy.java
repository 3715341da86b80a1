package burlarch.routing.planner;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.RouteType;
import burlarch.routing.RouteRequest;
import burlarch.routing.admission.RetryBudget;

/**
 * Decides whether a further attempt of a request may be made.
 *
 * <p>Invariants: <em>at most once</em>: a request whose route does not allow repetition gets no further attempt
 * once it may have been executed. <em>Bounded attempts</em>: the route bounds the attempts that may have been
 * executed; attempts that were surely not executed are bounded in addition. <em>Retry budget</em>: an attempt
 * after one that may have reached an instance needs room in the budget of its service.
 */
final class RetryPolicy {
    /** Attempts of one request that were not executed, beyond the number that its route allows. */
    private static final int MAX_REJECTED_ATTEMPTS = 2;

    /** What the policy says to a further attempt. */
    enum Decision {
        ALLOWED("allowed"),
        MAY_HAVE_RUN("may have run"),
        ATTEMPTS_USED_UP("tries used up"),
        BUDGET_USED_UP("retry budget used up");

        private final String reason;

        Decision(String reason) {
            this.reason = reason;
        }

        /** The reason for the refusal, as responses state it. */
        String reason() {
            return reason;
        }
    }

    private RetryPolicy() {}

    /**
     * The decision on a further attempt.
     *
     * @param attempt number of the attempt, from 1
     * @param previous {@link AttemptHistory#NONE} if nothing is retained of the earlier attempts; then each of
     *     them counts as possibly executed
     */
    static Decision decide(
            RouteRequest request,
            RetryBudget budget,
            AttemptHistory.PreviousAttempts previous,
            int attempt,
            long nowNanos) {
        int possiblyRun = previous == AttemptHistory.NONE ? attempt : previous.mayHaveRun();
        int maxAttempts = Math.max(1, request.route().retries());
        if (possiblyRun > 0 && !mayRepeat(request.route())) {
            return Decision.MAY_HAVE_RUN;
        }
        if (possiblyRun >= maxAttempts || attempt >= maxAttempts + MAX_REJECTED_ATTEMPTS) {
            return Decision.ATTEMPTS_USED_UP;
        }
        if (previous.possiblyReceived() > 0 && !budget.allows(nowNanos)) {
            return Decision.BUDGET_USED_UP;
        }
        return Decision.ALLOWED;
    }

    /**
     * Counts an attempt that is sent: as a first one, as a retry, or not at all if no instance received any before.
     *
     * @param attempt number of the attempt, from 0
     * @param previous {@link AttemptHistory#NONE} if nothing is retained of the earlier attempts; then an instance may
     *     have received one of them
     */
    static void countSend(RetryBudget budget, AttemptHistory.PreviousAttempts previous, int attempt, long nowNanos) {
        if (attempt == 0) {
            budget.onFirstSend(nowNanos);
        } else if (previous == AttemptHistory.NONE || previous.possiblyReceived() > 0) {
            budget.onRetry(nowNanos);
        }
    }

    private static boolean mayRepeat(Route route) {
        return route.type() == RouteType.IDEMPOTENT || route.type() == RouteType.STREAMING && route.resumable();
    }
}
