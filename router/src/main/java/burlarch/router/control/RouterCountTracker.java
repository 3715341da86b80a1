package burlarch.router.control;

import burlarch.coordination.budget.BudgetSettings;
import burlarch.coordination.budget.RouterCountEstimate;
import burlarch.coordination.membership.MemberChange;
import burlarch.node.NodeRoles;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracker of the number of routers that share a budget or a task, based on membership and on the reports of the
 * controllers. Uses no I/O and no clock: all times are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class RouterCountTracker {
    private final BudgetSettings settings;
    private final RouterCountEstimate estimate;
    /** Process ids of the other live routers. */
    private final Set<Long> otherRouters = new HashSet<>();

    private int reportedCount = 1;
    private boolean hadQuorumContact;
    private long firstContactNanos;

    /**
     * Creates a tracker without known routers.
     *
     * @param firstStart whether the complete fleet starts for the first time
     */
    public RouterCountTracker(BudgetSettings settings, boolean firstStart, long nowNanos) {
        this.settings = settings;
        estimate = firstStart
                ? RouterCountEstimate.atFirstFleetStart(settings, nowNanos)
                : RouterCountEstimate.inRunningFleet(settings, nowNanos);
    }

    /** Called when the membership has changed. */
    void onChanges(List<MemberChange> changes, long nowNanos) {
        for (MemberChange change : changes) {
            if (change.member().role().equals(NodeRoles.ROUTER)) {
                onRouterChange(change, nowNanos);
            }
        }
    }

    private void onRouterChange(MemberChange change, long nowNanos) {
        long processId = change.member().processId();
        if (change.appeared() && otherRouters.size() < settings.maxRouters()) {
            otherRouters.add(processId);
            estimate.onRouterAppeared(processId, nowNanos);
        } else if (change.disappeared() && otherRouters.remove(processId)) {
            estimate.onRouterDisappeared(processId, nowNanos);
        }
    }

    /** Called when the controllers report how many routers are connected to them. */
    void onReportedCount(int count) {
        reportedCount = Math.max(1, count);
        estimate.onReportedCount(count);
    }

    /** Called while more than half of the controllers are reachable. */
    void onQuorumContact(long nowNanos) {
        if (!hadQuorumContact) {
            hadQuorumContact = true;
            firstContactNanos = nowNanos;
        }
        estimate.onQuorumContact(nowNanos);
    }

    /**
     * Number of live routers, including this one. The number that the controllers report is taken into account until
     * the membership is certain to contain all routers.
     */
    int liveRouters(long nowNanos) {
        if (otherRouters.isEmpty()) {
            return reportedCount;
        }
        int members = otherRouters.size() + 1;
        return estimate.isEstablished(nowNanos) ? members : Math.max(members, reportedCount);
    }

    /**
     * Number of routers by which shared budgets are divided. Routers that do not know this one yet still use their
     * previous share. Therefore a router that is new or partitioned counts all routers that it has seen within the
     * budget window. Right after its start, when it has seen few routers, it uses a number that is safe even if
     * several routers start at once.
     */
    int budgetShares(long nowNanos) {
        if (estimate.isEstablished(nowNanos)) {
            return liveRouters(nowNanos);
        }
        boolean isStarting = !hadQuorumContact || nowNanos - firstContactNanos < settings.disseminationNanos();
        int minShares = isStarting ? settings.minReserveRouters() : 1;
        return Math.max(minShares, Math.max(liveRouters(nowNanos), estimate.count(nowNanos)));
    }
}
