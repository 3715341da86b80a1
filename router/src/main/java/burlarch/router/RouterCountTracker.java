package burlarch.router;

import burlarch.coordination.budget.BudgetSettings;
import burlarch.coordination.budget.RouterCountEstimate;
import burlarch.coordination.membership.MemberChange;
import burlarch.node.NodeRoles;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * How many routers share a budget or a task, by what membership and controllers tell. Without I/O or clock:
 * times are nanoseconds of one steady clock.
 */
final class RouterCountTracker {
    private final BudgetSettings settings;
    private final RouterCountEstimate estimate;
    private final Set<Long> others = new HashSet<>();
    private int told = 1;
    private boolean contacted;
    private long firstContact;

    /** @param firstStart whether the whole fleet starts for the first time */
    RouterCountTracker(BudgetSettings settings, boolean firstStart, long now) {
        this.settings = settings;
        estimate = new RouterCountEstimate(settings, firstStart, now);
    }

    /** Membership changed. */
    void onChanges(List<MemberChange> changes, long now) {
        for (MemberChange change : changes) {
            if (change.member().role().equals(NodeRoles.ROUTER)) {
                onRouter(change, now);
            }
        }
    }

    private void onRouter(MemberChange change, long now) {
        long process = change.member().processId();
        if (change.appeared() && others.size() < settings.maxRouters()) {
            others.add(process);
            estimate.onRouterAppeared(process, now);
        } else if (change.disappeared() && others.remove(process)) {
            estimate.onRouterDisappeared(process, now);
        }
    }

    /** Controllers tell how many routers are connected with them. */
    void onTold(int count) {
        told = Math.max(1, count);
        estimate.onReportedCount(count);
    }

    /** More than half of the controllers can be reached now. */
    void onContact(long now) {
        if (!contacted) {
            contacted = true;
            firstContact = now;
        }
        estimate.onQuorumContact(now);
    }

    /**
     * Those that live, this one included; what controllers tell counts until membership is sure to have all.
     */
    int live(long now) {
        if (others.isEmpty()) {
            return told;
        }
        int members = others.size() + 1;
        return estimate.isEstablished(now) ? members : Math.max(members, told);
    }

    /**
     * By how many shared budgets are to be divided. Others that can't count this one yet use what they are
     * used to: a router that is new or cut off counts all that it ever met within a budget's window, and at
     * its very start, when it has hardly met any, a number that several new ones at once may safely use.
     */
    int sharers(long now) {
        if (estimate.isEstablished(now)) {
            return live(now);
        }
        boolean atStart = !contacted || now - firstContact < settings.disseminationNanos();
        int least = atStart ? settings.minReserveRouters() : 1;
        return Math.max(least, Math.max(live(now), estimate.count(now)));
    }
}
