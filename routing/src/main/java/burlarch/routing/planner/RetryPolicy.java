package burlarch.routing.planner;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.RouteType;
import burlarch.routing.RouteRequest;
import burlarch.routing.admission.RetryBudget;

/**
 * Retry policy: decides whether a further attempt of a request may be made.
 *
 * <p>Invariants: <em>at most once</em>: a request whose route does not allow repetition gets no further attempt once
 * it may have been executed. <em>Bounded attempts</em>: the route bounds the attempts that may have been executed;
 * those that were certainly not executed have an additional bound. <em>Retry budget</em>: an attempt after one that
 * may have reached an instance must be within the retry budget of its service.
 */
final class RetryPolicy {
    /** Maximum number of attempts that were not executed, in addition to those that the route allows. */
    private static final int MAX_REJECTED_ATTEMPTS = 2;

    /** Decision on a further attempt. */
    enum Decision {
        ALLOWED("allowed"),
        POSSIBLY_EXECUTED("request may have been executed"),
        ATTEMPTS_USED_UP("attempts used up"),
        BUDGET_USED_UP("retry budget used up");

        private final String reason;

        Decision(String reason) {
            this.reason = reason;
        }

        /** Returns the reason for the rejection. */
        String reason() {
            return reason;
        }
    }

    private RetryPolicy() {}

    /**
     * Decides on a further attempt.
     *
     * @param attempt number of the attempt, from 1
     * @param previous earlier attempts, {@link AttemptHistory#NONE} if none is retained; then each of them counts as
     *     possibly executed
     */
    static Decision decide(
            RouteRequest request,
            RetryBudget budget,
            AttemptHistory.PreviousAttempts previous,
            int attempt,
            long nowNanos) {
        int possiblyExecuted = previous == AttemptHistory.NONE ? attempt : previous.possiblyExecuted();
        int maxAttempts = Math.max(1, request.route().retries());
        if (possiblyExecuted > 0 && !mayRepeat(request.route())) {
            return Decision.POSSIBLY_EXECUTED;
        }
        if (possiblyExecuted >= maxAttempts || attempt >= maxAttempts + MAX_REJECTED_ATTEMPTS) {
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
     * @param previous earlier attempts, {@link AttemptHistory#NONE} if none is retained; then an instance may have
     *     received one of them
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
