package burlarch.coordination.rollout;

/** What a rollout wants done; of timers only the last one counts. */
public sealed interface RolloutAction {
    /**
     * Send this order, once, and tell its result.
     *
     * @param fenceToken of the ownership
     * @param ifRevision the engine's sequence that is expected, {@link #ANY_REVISION} for none
     */
    record SendOrder(String instance, String model, long version, OrderMode mode, long fenceToken, long ifRevision)
            implements RolloutAction {
        public static final long ANY_REVISION = -1;
    }

    /** Tell the routers to send nothing more to that engine, or that it takes requests again. */
    record MarkLoading(String instance, boolean loading) implements RolloutAction {}

    /** Ask the engine for its report, and tell it or that none came. */
    record AskReport(String instance) implements RolloutAction {}

    /** An engine has seen a higher fencing token: this process no longer holds the ownership. */
    record OwnershipLost(long fenceToken) implements RolloutAction {}

    /** Call {@link WeightsRollout#onTimer} at that time, not before. */
    record Timer(long atNanos) implements RolloutAction {}
}
