package burlarch.coordination.rollout;

/** What a rollout wants done; of timers only the last one counts. */
public sealed interface RolloutAction {
    /**
     * Send this order, once, and tell its result.
     *
     * @param fencingToken of the ownership
     * @param expectedSequence the engine's sequence that is expected, {@link #ANY_SEQUENCE} for none
     */
    record SendOrder(
            String instanceId, String model, long version, OrderMode mode, long fencingToken, long expectedSequence)
            implements RolloutAction {
        public static final long ANY_SEQUENCE = -1;
    }

    /** Tell the routers to send nothing more to that engine, or that it takes requests again. */
    record MarkLoading(String instanceId, boolean loading) implements RolloutAction {}

    /** Ask the engine for its report, and tell it or that none came. */
    record RequestReport(String instanceId) implements RolloutAction {}

    /** An engine has seen a higher fencing token: this process no longer holds the ownership. */
    record OwnershipLost(long fencingToken) implements RolloutAction {}

    /** Call {@link WeightsRollout#onTimer} at that time, not before. */
    record Timer(long atNanos) implements RolloutAction {}
}
