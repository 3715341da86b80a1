package burlarch.routing;

import burlarch.coordination.registry.Instance;

/** What is to be done with a request. */
public sealed interface Placement {
    /**
     * Send it.
     *
     * @param cacheSalt null where the service keeps no prompts
     * @param expectVersion weights version that the instance has to have, 0 for none
     * @param kvFetch address to take kept parts from, or null
     * @param kvSave address of a store to save parts to, or null
     * @param priority 0 (first) to 9
     * @param predictedFirstNanos how long the first event is expected to take
     */
    record Send(
            Instance instance,
            String cacheSalt,
            long expectVersion,
            String kvFetch,
            String kvSave,
            int priority,
            long predictedFirstNanos)
            implements Placement {}

    /** Refuse at once with 503 and a time to come back. */
    record Refuse(long retryAfterMillis, String reason) implements Placement {}
}
