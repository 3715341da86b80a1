package burlarch.coordination.rollout;

/** What a rollout asks its caller to do. Of timers only the last one counts. */
public sealed interface RolloutAction {
    /**
     * Send this order, once, and tell its result by {@link WeightsRollout#onOrderResult}.
     *
     * @param instanceId the engine
     * @param model whose weights it is to load
     * @param version of the weights
     * @param mode what becomes of its running requests
     * @param fencingToken of the ownership
     * @param expectedSequence the number of orders that the engine must have accepted so far, else it rejects this one;
     *     {@link #ANY_SEQUENCE} for no such condition
     */
    record SendOrder(
            String instanceId, String model, long version, OrderMode mode, long fencingToken, long expectedSequence)
            implements RolloutAction {
        /** The engine may have accepted any number of orders. */
        public static final long ANY_SEQUENCE = -1;
    }

    /** Tell the routers that the engine loads, so that they send nothing more to it. */
    record MarkLoading(String instanceId) implements RolloutAction {}

    /** Tell the routers that the engine loads no longer. */
    record ClearLoading(String instanceId) implements RolloutAction {}

    /** Ask the engine for its report, and tell it by {@link WeightsRollout#onReport}, also if none comes. */
    record RequestReport(String instanceId) implements RolloutAction {}

    /** An engine has seen a higher fencing token: this process no longer holds the ownership. */
    record OwnershipLost(long fencingToken) implements RolloutAction {}

    /** Call {@link WeightsRollout#onTimer} at that time, not before. */
    record Timer(long atNanos) implements RolloutAction {}
}
