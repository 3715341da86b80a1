package burlarch.routing;

/** Is notified of each ended attempt, under the planner's lock; must not block and must not call the planner. */
@FunctionalInterface
public interface AttemptObserver {
    /** Observes nothing. */
    AttemptObserver NONE = attempt -> {};

    /** An attempt has ended. */
    void onEnded(ObservedAttempt attempt);

    /**
     * What was planned for one attempt, and what became of it.
     *
     * @param request the request as it was planned
     * @param instance id of the instance that received it
     * @param sameZone whether the instance runs in the router's zone
     * @param fetch whether it was offered to admission as a fetch
     * @param cachedTokens prompt tokens that the instance was assumed to cache
     * @param transferredTokens prompt tokens that a transfer was to bring
     * @param prefillTokens prompt tokens that were left to prefill
     * @param ownRequests requests of this router that were at the instance before
     * @param expectedWaitNanos how long the request was expected to wait there for others
     * @param predictedNanos expected time from sending to the first event
     * @param sentNanos when it was sent
     * @param firstEventNanos time from sending to the first event; negative if there was none
     * @param endedNanos time from sending to its end
     * @param outcome how it ended
     */
    record ObservedAttempt(
            RouteRequest request,
            String instance,
            boolean sameZone,
            boolean fetch,
            int cachedTokens,
            int transferredTokens,
            int prefillTokens,
            int ownRequests,
            double expectedWaitNanos,
            long predictedNanos,
            long sentNanos,
            long firstEventNanos,
            long endedNanos,
            AttemptOutcome outcome) {}
}
