package burlarch.engine;

import burlarch.coordination.rollout.OrderMode;

/**
 * An order to load weights.
 *
 * @param version of the weights
 * @param holder name of the process that holds the ownership
 * @param fenceToken the ownership's fencing token
 * @param ifRevision the engine's sequence that is expected, {@link #ANY_REVISION} for none
 */
public record WeightsOrder(
        String model, long version, OrderMode mode, String holder, long fenceToken, long ifRevision) {
    public static final long ANY_REVISION = -1;
}
