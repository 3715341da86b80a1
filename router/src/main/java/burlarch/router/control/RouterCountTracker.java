package burlarch.router.control;

import burlarch.coordination.budget.BudgetSettings;
import burlarch.coordination.budget.RouterCountEstimate;
import burlarch.coordination.membership.MemberChange;
import burlarch.node.NodeRoles;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * How many routers share a budget or a task, according to membership and to the controllers. No I/O and no
 * clock: all times are nanoseconds of one monotonic clock. Called on one thread.
 */
public final class RouterCountTracker {
    private final BudgetSettings settings;
    private final RouterCountEstimate estimate;
    /** Process ids of the other live routers. */
    private final Set<Long> others = new HashSet<>();

    private int reportedCount = 1;
    private boolean contacted;
    private long firstContactNanos;

    /** @param firstStart whether the complete fleet starts for the first time */
    public RouterCountTracker(BudgetSettings settings, boolean firstStart, long nowNanos) {
        this.settings = settings;
        estimate = firstStart
                ? RouterCountEstimate.atFirstFleetStart(settings, nowNanos)
                : RouterCountEstimate.inRunningFleet(settings, nowNanos);
    }

    /** Membership has changed. */
    void onChanges(List<MemberChange> changes, long nowNanos) {
        for (MemberChange change : changes) {
            if (change.member().role().equals(NodeRoles.ROUTER)) {
                onRouterChange(change, nowNanos);
            }
        }
    }

    private void onRouterChange(MemberChange change, long nowNanos) {
        long process = change.member().processId();
        if (change.appeared() && others.size() < settings.maxRouters()) {
            others.add(process);
            estimate.onRouterAppeared(process, nowNanos);
        } else if (change.disappeared() && others.remove(process)) {
            estimate.onRouterDisappeared(process, nowNanos);
        }
    }

    /** The controllers report how many routers are connected to them. */
    void onReportedCount(int count) {
        reportedCount = Math.max(1, count);
        estimate.onReportedCount(count);
    }

    /** More than half of the controllers are reachable now. */
    void onQuorumContact(long nowNanos) {
        if (!contacted) {
            contacted = true;
            firstContactNanos = nowNanos;
        }
        estimate.onQuorumContact(nowNanos);
    }

    /**
     * Number of live routers, this one included. The count of the controllers is taken into account until
     * membership is certain to know all routers.
     */
    int liveRouters(long nowNanos) {
        if (others.isEmpty()) {
            return reportedCount;
        }
        int members = others.size() + 1;
        return estimate.isEstablished(nowNanos) ? members : Math.max(members, reportedCount);
    }

    /**
     * Number by which shared budgets are divided. Routers that cannot count this one yet still use the share
     * they are used to. A router that is new or partitioned therefore counts all that it has met within the
     * window of a budget. At its very start, when it has hardly met any, it uses a number that is safe for
     * several new routers at once.
     */
    int budgetShares(long nowNanos) {
        if (estimate.isEstablished(nowNanos)) {
            return liveRouters(nowNanos);
        }
        boolean atStart = !contacted || nowNanos - firstContactNanos < settings.disseminationNanos();
        int least = atStart ? settings.minReserveRouters() : 1;
        return Math.max(least, Math.max(liveRouters(nowNanos), estimate.count(nowNanos)));
    }
}
