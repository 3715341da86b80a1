package burlarch.engine;

import burlarch.coordination.rollout.OrderMode;

/**
 * Order to an engine to load a version of the weights of a model.
 *
 * @param version version of the weights
 * @param holder name of the process that holds the lease
 * @param fenceToken fencing token of the lease
 * @param ifRevision sequence number that the engine must have, or {@link #ANY_REVISION}
 */
public record WeightsOrder(
        String model, long version, OrderMode mode, String holder, long fenceToken, long ifRevision) {
    /** Value of {@code ifRevision} for an order that does not depend on the engine's sequence number. */
    public static final long ANY_REVISION = -1;
}
