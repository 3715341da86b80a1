package burlarch.engine;

import burlarch.coordination.rollout.OrderMode;

/**
 * An order to load weights.
 *
 * @param version of the weights
 * @param holder name of the process that holds the lease
 * @param fenceToken fencing token of the lease
 * @param ifRevision the engine's sequence number that is expected, {@link #ANY_REVISION} for none
 */
public record WeightsOrder(
        String model, long version, OrderMode mode, String holder, long fenceToken, long ifRevision) {
    /** The order applies whatever the engine's sequence number is. */
    public static final long ANY_REVISION = -1;
}
