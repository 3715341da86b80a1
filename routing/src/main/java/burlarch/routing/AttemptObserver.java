package burlarch.routing;

/**
 * Receives a report of each ended attempt. It is called under the planner's lock, and must neither block nor call the
 * planner.
 */
@FunctionalInterface
public interface AttemptObserver {
    /** Ignores all reports. */
    AttemptObserver NONE = attempt -> {};

    /** Called once when an attempt has ended. */
    void onEnded(ObservedAttempt attempt);

    /**
     * One ended attempt: what the planner expected, and what was measured.
     *
     * @param request as it was given to the planner
     * @param instance id of the instance that received it
     * @param sameZone whether the instance runs in the router's zone
     * @param cacheMiss whether it was offered to admission control as a cache miss
     * @param cachedTokens prompt tokens that the instance was assumed to cache
     * @param transferredTokens prompt tokens that a KV transfer was expected to deliver
     * @param prefillTokens prompt tokens that remained to be prefilled
     * @param ownRequests requests of this router that were in flight at the instance when the attempt was sent
     * @param expectedWaitNanos expected wait for other requests at the instance, as of sending
     * @param predictedNanos expected time from sending to the first event
     * @param sentNanos time of sending
     * @param firstEventNanos time from sending to the first event; negative if there was none
     * @param endedNanos time from sending to the end
     * @param outcome how the attempt ended
     */
    record ObservedAttempt(
            RouteRequest request,
            String instance,
            boolean sameZone,
            boolean cacheMiss,
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
