package burlarch.routing;

import burlarch.coordination.registry.Instance;

/**
 * The planner's decision on one attempt of a request. A {@link Send} identifies its attempt: the caller hands
 * the same object back with each report about the attempt.
 */
public sealed interface Placement {
    /**
     * Send the request to an instance.
     *
     * @param cacheSalt salt for the engine's prefix cache, null where the service caches no prompts
     * @param expectVersion weights version that the instance has to have, 0 for any
     * @param kvFetch address from which the engine is to fetch cached segments, or null
     * @param kvSave address of a store to which the engine is to save the shared segments, or null
     * @param priority from 0, the most urgent, to 9
     * @param predictedFirstNanos expected time from sending to the first event of the response
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

    /**
     * Reject the attempt at once, with 503 and Retry-After.
     *
     * @param retryAfterMillis after which the client may come back
     * @param reason one phrase for the response and for operators
     */
    record Refuse(long retryAfterMillis, String reason) implements Placement {}
}
