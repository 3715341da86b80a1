package burlarch.routing;

import burlarch.coordination.registry.Instance;

/**
 * The planner's decision on one attempt of a request. A {@link Send} also identifies its attempt: the caller passes
 * the same object with each report about the attempt.
 */
public sealed interface Placement {
    /**
     * Send the request to an instance.
     *
     * @param cacheSalt salt for the engine's prefix cache; null where the service caches no prompts
     * @param expectVersion weights version that the instance must have, 0 for any
     * @param kvFetch address from which the engine fetches cached segments; null for none
     * @param kvSave address of the store to which the engine saves the shared segments; null for none
     * @param priority from 0 (most urgent) to 9
     * @param predictedFirstEventNanos expected time from sending to the first event of the response
     */
    record Send(
            Instance instance,
            String cacheSalt,
            long expectVersion,
            String kvFetch,
            String kvSave,
            int priority,
            long predictedFirstEventNanos)
            implements Placement {}

    /**
     * Reject the request at once, with 503 and Retry-After.
     *
     * @param retryAfterMillis time after which the client may retry
     * @param reason short phrase for operators
     */
    record Reject(long retryAfterMillis, String reason) implements Placement {}
}
