package burlarch.simulation.coordination;

import burlarch.coordination.rollout.OrderResult;
import burlarch.engine.WeightsOrder;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** One owner at a time orders engines about, and no owner orders the same twice. */
final class EngineOrderChecker {
    static final String NAME = "one";
    static final String TWICE = "twice";

    /** An order of one owner to one incarnation of an engine. */
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

    int orderCount() {
        return orderCount;
    }

    /** An order sets out. */
    void onSent(String instance, WeightsOrder order, long now) {
        orderCount++;
        checkOwner(order, now);
        SentOrder sent = SentOrder.of(instance, order);
        if (!inFlight.add(sent)) {
            violations.add(TWICE, sent + " while the same is under way");
        }
        if (accepted.contains(sent)) {
            violations.add(TWICE, sent + " after it was taken");
        }
    }

    private void checkOwner(WeightsOrder order, long now) {
        String holder = holderByToken.putIfAbsent(order.fenceToken(), order.holder());
        if (holder != null && !holder.equals(order.holder())) {
            violations.add(NAME, "token " + order.fenceToken() + " of " + holder + " and " + order.holder());
        }
        if (order.fenceToken() < highestToken) {
            violations.add(NAME, "token " + order.fenceToken() + " after " + highestToken);
        }
        highestToken = Math.max(highestToken, order.fenceToken());
        if (lastHolder != null && !lastHolder.equals(order.holder()) && now - lastOrderNanos < FleetPlan.LEASE_NANOS) {
            violations.add(
                    NAME, order.holder() + " acts " + (now - lastOrderNanos) / 1_000_000 + " ms after " + lastHolder);
        }
        lastHolder = order.holder();
        lastOrderNanos = now;
    }

    /** The owner got the engine's answer, or gave it up. */
    void onResult(String instance, WeightsOrder order, OrderResult result) {
        SentOrder sent = SentOrder.of(instance, order);
        inFlight.remove(sent);
        if (result == OrderResult.ACCEPTED) {
            accepted.add(sent);
        }
    }
}
