package burlarch.simulation.coordination;

import burlarch.fleet.engine.Order;
import java.util.HashMap;
import java.util.Map;

/** One owner at a time orders engines about. */
final class OrderRule {
    static final String NAME = "one";

    private final Violations violations;
    private final Map<Long, String> holders = new HashMap<>();
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
    void onSent(Order order, long now) {
        orders++;
        String holder = holders.putIfAbsent(order.fenceToken(), order.holder());
        if (holder != null && !holder.equals(order.holder())) {
            violations.add(NAME, "token " + order.fenceToken() + " of " + holder + " and " + order.holder());
        }
        if (order.fenceToken() < highestToken) {
            violations.add(NAME, "token " + order.fenceToken() + " after " + highestToken);
        }
        highestToken = Math.max(highestToken, order.fenceToken());
        if (lastHolder != null && !lastHolder.equals(order.holder())
                && now - lastAct < FleetPlan.LEASE_NANOS) {
            violations.add(NAME, order.holder() + " acts " + (now - lastAct) / 1_000_000 + " ms after "
                    + lastHolder);
        }
        lastHolder = order.holder();
        lastAct = now;
    }
}
