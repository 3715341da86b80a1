package burlarch.emulator.model;

import java.util.HashMap;
import java.util.Map;

/**
 * State of an engine's weights: the loaded versions, and the order in progress that changes one of them. Invariant
 * <em>fencing</em>: an order whose fencing token is lower than the highest one seen is rejected. At most one order is
 * in progress. Reads no clock; the caller holds the lock of the engine's {@link KvCache}.
 */
public final class WeightsOrders {
    private static final int ALREADY_LOADED_STATUS = 200;
    private static final int ACCEPTED_STATUS = 202;
    private static final int INVALID_STATUS = 400;
    private static final int CONFLICT_STATUS = 409;
    private static final int STALE_FENCING_TOKEN_STATUS = 412;
    private static final long ANY_SEQUENCE = -1;

    private final long loadNanos;
    private final Map<String, Long> versions = new HashMap<>();
    private Order inProgress;
    private long dueAtNanos;
    private long sequence;
    private long highestFencingToken;

    /**
     * Order to load weights.
     *
     * @param expectedSequence number of orders that the engine must have accepted before, -1 for any
     */
    public record Order(
            String op,
            String model,
            long version,
            String mode,
            String holder,
            long fencingToken,
            long expectedSequence) {}

    /** Creates the state of an engine that has loaded these versions, by model. */
    public WeightsOrders(Map<String, Long> versions, long loadNanos) {
        this.versions.putAll(versions);
        this.loadNanos = loadNanos;
    }

    /** Accepts or rejects an order and returns the HTTP status. {@link #completeDue} must be called before. */
    public int accept(Order order, long nowNanos) {
        if (order.holder() == null
                || order.holder().isBlank()
                || order.fencingToken() <= 0
                || !"config_version".equals(order.op())
                || !versions.containsKey(order.model())
                || order.version() <= 0) {
            return INVALID_STATUS;
        }
        if (order.fencingToken() < highestFencingToken) {
            return STALE_FENCING_TOKEN_STATUS;
        }
        highestFencingToken = order.fencingToken();
        if (order.expectedSequence() != ANY_SEQUENCE && order.expectedSequence() != sequence || inProgress != null) {
            return CONFLICT_STATUS;
        }
        if (versions.get(order.model()) == order.version()) {
            return ALREADY_LOADED_STATUS;
        }
        inProgress = order;
        dueAtNanos = nowNanos + loadNanos;
        sequence++;
        return ACCEPTED_STATUS;
    }

    /** Completes the order in progress if it is due; returns the model whose weights changed, or null. */
    public String completeDue(long nowNanos) {
        if (inProgress == null || nowNanos - dueAtNanos < 0) {
            return null;
        }
        String model = inProgress.model();
        versions.put(model, inProgress.version());
        inProgress = null;
        return model;
    }

    /** Returns whether weights of the model are being loaded, so that its requests are rejected. */
    public boolean isLoading(String model) {
        return inProgress != null && inProgress.model().equals(model);
    }

    /** Returns whether an order is in progress. */
    public boolean busy() {
        return inProgress != null;
    }

    /** Returns the number of orders accepted since the start. */
    public long sequence() {
        return sequence;
    }

    /** Returns the loaded versions by model. */
    public Map<String, Long> versions() {
        return Map.copyOf(versions);
    }
}
