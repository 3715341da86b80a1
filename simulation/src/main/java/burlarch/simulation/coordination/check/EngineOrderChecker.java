package burlarch.simulation.coordination.check;

import burlarch.coordination.rollout.OrderResult;
import burlarch.engine.WeightsOrder;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.plan.FleetTimings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checker of {@link Rule#ONE_LEASE_HOLDER}, {@link Rule#NO_DUPLICATE_ORDER} and {@link Rule#NEWER_WEIGHTS_KEPT} for the
 * orders sent to engines.
 */
public final class EngineOrderChecker {
    /** Identity of an order from one lease holder to one incarnation of an engine. */
    private record SentOrder(String instance, String model, long version, long fenceToken, long ifRevision) {
        static SentOrder of(String instance, WeightsOrder order) {
            return new SentOrder(instance, order.model(), order.version(), order.fenceToken(), order.ifRevision());
        }
    }

    private final ViolationLog violations;
    private final Map<Long, String> holderByToken = new HashMap<>();
    private final Set<SentOrder> inFlight = new HashSet<>();
    private final Set<SentOrder> accepted = new HashSet<>();
    private String lastHolder;
    private long lastOrderNanos;
    private long highestToken;
    private int orderCount;

    EngineOrderChecker(ViolationLog violations) {
        this.violations = violations;
    }

    /** Returns the number of orders sent so far. */
    public int orderCount() {
        return orderCount;
    }

    /** Records that a controller sends an order, and checks the order's holder, fencing token and uniqueness. */
    public void onSent(String instance, WeightsOrder order, long nowNanos) {
        orderCount++;
        checkHolder(order, nowNanos);
        SentOrder sent = SentOrder.of(instance, order);
        if (!inFlight.add(sent)) {
            violations.add(Rule.NO_DUPLICATE_ORDER, sent + " while the same order is in progress");
        }
        if (accepted.contains(sent)) {
            violations.add(Rule.NO_DUPLICATE_ORDER, sent + " after it was accepted");
        }
    }

    private void checkHolder(WeightsOrder order, long nowNanos) {
        String holder = holderByToken.putIfAbsent(order.fenceToken(), order.holder());
        if (holder != null && !holder.equals(order.holder())) {
            violations.add(
                    Rule.ONE_LEASE_HOLDER, "token " + order.fenceToken() + " of " + holder + " and " + order.holder());
        }
        if (order.fenceToken() < highestToken) {
            violations.add(Rule.ONE_LEASE_HOLDER, "token " + order.fenceToken() + " after " + highestToken);
        }
        highestToken = Math.max(highestToken, order.fenceToken());
        long sinceLastOrderNanos = nowNanos - lastOrderNanos;
        if (lastHolder != null
                && !lastHolder.equals(order.holder())
                && sinceLastOrderNanos < FleetTimings.LEASE_NANOS) {
            violations.add(
                    Rule.ONE_LEASE_HOLDER,
                    order.holder() + " acts " + sinceLastOrderNanos / Simulation.MILLISECOND + " ms after "
                            + lastHolder);
        }
        lastHolder = order.holder();
        lastOrderNanos = nowNanos;
    }

    /**
     * Records that an engine accepts an order.
     *
     * @param currentVersion version of the weights that it has
     */
    public void onAccepted(String instance, WeightsOrder order, long currentVersion) {
        if (order.version() < currentVersion) {
            violations.add(
                    Rule.NEWER_WEIGHTS_KEPT,
                    instance + " accepts weights " + order.version() + " in place of " + currentVersion);
        }
    }

    /** Records the result of an order: the engine's response, or a time-out at the controller. */
    public void onResult(String instance, WeightsOrder order, OrderResult result) {
        SentOrder sent = SentOrder.of(instance, order);
        inFlight.remove(sent);
        if (result == OrderResult.ACCEPTED) {
            accepted.add(sent);
        }
    }
}
