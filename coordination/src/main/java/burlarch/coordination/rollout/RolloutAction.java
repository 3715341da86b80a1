package burlarch.coordination.rollout;

/** An action that a rollout requests from its caller. Only the latest timer counts. */
public sealed interface RolloutAction {
    /**
     * Send this order, once, and report its result by {@link WeightsRollout#onOrderResult}.
     *
     * @param instanceId the engine
     * @param model the model whose weights it is to load
     * @param version of the weights
     * @param mode how the engine treats its running requests
     * @param fencingToken of the ownership
     * @param expectedSequence the number of orders that the engine must have accepted so far, otherwise it rejects
     *     this one
     */
    record SendOrder(
            String instanceId, String model, long version, OrderMode mode, long fencingToken, long expectedSequence)
            implements RolloutAction {}

    /** Tell the routers that the engine loads, so that they send nothing more to it. */
    record MarkLoading(String instanceId) implements RolloutAction {}

    /** Tell the routers that the engine no longer loads. */
    record ClearLoading(String instanceId) implements RolloutAction {}

    /** Request a report of the engine, and pass it to {@link WeightsRollout#onReport}, also if none is received. */
    record RequestReport(String instanceId) implements RolloutAction {}

    /** An engine has seen a higher fencing token: this process no longer holds the ownership. */
    record OwnershipLost(long fencingToken) implements RolloutAction {}

    /** Call {@link WeightsRollout#onTimer} at this time, not before. */
    record Timer(long atNanos) implements RolloutAction {}
}
