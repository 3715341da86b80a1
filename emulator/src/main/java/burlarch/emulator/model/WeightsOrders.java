package burlarch.emulator.model;

import java.util.HashMap;
import java.util.Map;

/**
 * The weights versions of an engine, and the orders that change them. Invariant <em>fencing</em>: an order whose
 * fencing token is lower than the highest one seen is rejected. One order at a time is in progress. No clock; the
 * caller holds the lock of the engine's {@link KvCache}.
 */
public final class WeightsOrders {
    private static final int ALREADY_LOADED = 200;
    private static final int ACCEPTED = 202;
    private static final int INVALID = 400;
    private static final int CONFLICT = 409;
    private static final int STALE_FENCING_TOKEN = 412;
    private static final long ANY = -1;

    private final long loadNanos;
    private final Map<String, Long> versions = new HashMap<>();
    private Order inProgress;
    private long doneAtNanos;
    private long sequence;
    private long highestFencingToken;

    /**
     * An order to load weights.
     *
     * @param expectedSequence number of accepted orders that it expects, -1 for any
     */
    public record Order(
            String op,
            String model,
            long version,
            String mode,
            String holder,
            long fencingToken,
            long expectedSequence) {}

    /** An engine that has loaded these versions, by model. */
    public WeightsOrders(Map<String, Long> versions, long loadNanos) {
        this.versions.putAll(versions);
        this.loadNanos = loadNanos;
    }

    /** Accepts or rejects an order; returns the status of the response. To be called after {@link #completeDue}. */
    public int accept(Order order, long nowNanos) {
        if (order.holder() == null
                || order.holder().isBlank()
                || order.fencingToken() <= 0
                || !"config_version".equals(order.op())
                || !versions.containsKey(order.model())
                || order.version() <= 0) {
            return INVALID;
        }
        if (order.fencingToken() < highestFencingToken) {
            return STALE_FENCING_TOKEN;
        }
        highestFencingToken = order.fencingToken();
        if (order.expectedSequence() != ANY && order.expectedSequence() != sequence || inProgress != null) {
            return CONFLICT;
        }
        if (versions.get(order.model()) == order.version()) {
            return ALREADY_LOADED;
        }
        inProgress = order;
        doneAtNanos = nowNanos + loadNanos;
        sequence++;
        return ACCEPTED;
    }

    /** Completes the order in progress if it is due. Returns the model whose weights changed, or null. */
    public String completeDue(long nowNanos) {
        if (inProgress == null || nowNanos - doneAtNanos < 0) {
            return null;
        }
        String model = inProgress.model();
        versions.put(model, inProgress.version());
        inProgress = null;
        return model;
    }

    /** Whether weights of that model are being loaded, so that its requests are rejected. */
    public boolean isLoading(String model) {
        return inProgress != null && inProgress.model().equals(model);
    }

    /** Whether an order is in progress. */
    public boolean busy() {
        return inProgress != null;
    }

    /** Number of orders accepted since the start. */
    public long sequence() {
        return sequence;
    }

    /** Versions by model. */
    public Map<String, Long> versions() {
        return Map.copyOf(versions);
    }
}
