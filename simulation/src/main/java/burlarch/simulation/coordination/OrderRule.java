package burlarch.simulation.coordination;

import burlarch.coordination.rollout.OrderResult;
import burlarch.engine.WeightsOrder;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** One owner at a time orders engines about, and no owner orders the same twice. */
final class OrderRule {
    static final String NAME = "one";
    static final String TWICE = "twice";

    /** An order of one owner to one incarnation of an engine. */
    private record Sent(String instance, String model, long version, long fenceToken, long ifRevision) {
        static Sent of(String instance, WeightsOrder order) {
            return new Sent(instance, order.model(), order.version(), order.fenceToken(), order.ifRevision());
        }
    }

    private final Violations violations;
    private final Map<Long, String> holders = new HashMap<>();
    private final Set<Sent> open = new HashSet<>();
    private final Set<Sent> taken = new HashSet<>();
    private String lastHolder;
    private long lastAct;
    private long highestToken;
    private int orders;

    OrderRule(Violations violations) {
        this.violations = violations;
    }

    int orders() {
        return orders;
    }

    /** An order sets out. */
    void onSent(String instance, WeightsOrder order, long now) {
        orders++;
        checkOwner(order, now);
        Sent sent = Sent.of(instance, order);
        if (!open.add(sent)) {
            violations.add(TWICE, sent + " while the same is under way");
        }
        if (taken.contains(sent)) {
            violations.add(TWICE, sent + " after it was taken");
        }
    }

    private void checkOwner(WeightsOrder order, long now) {
        String holder = holders.putIfAbsent(order.fenceToken(), order.holder());
        if (holder != null && !holder.equals(order.holder())) {
            violations.add(NAME, "token " + order.fenceToken() + " of " + holder + " and " + order.holder());
        }
        if (order.fenceToken() < highestToken) {
            violations.add(NAME, "token " + order.fenceToken() + " after " + highestToken);
        }
        highestToken = Math.max(highestToken, order.fenceToken());
        if (lastHolder != null && !lastHolder.equals(order.holder()) && now - lastAct < FleetPlan.LEASE_NANOS) {
            violations.add(NAME, order.holder() + " acts " + (now - lastAct) / 1_000_000 + " ms after " + lastHolder);
        }
        lastHolder = order.holder();
        lastAct = now;
    }

    /** The owner got the engine's answer, or gave it up. */
    void onResult(String instance, WeightsOrder order, OrderResult result) {
        Sent sent = Sent.of(instance, order);
        open.remove(sent);
        if (result == OrderResult.ACCEPTED) {
            taken.add(sent);
        }
    }
}
