package burlarch.router.control;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.budget.BudgetSettings;
import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberState;
import burlarch.node.NodeRoles;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Router counts with a budget window of 10 s: quorum contact is valid for 5 s, membership updates are disseminated
 * within 2 s, and the full share applies after 17 s.
 */
class RouterCountTrackerTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final BudgetSettings SETTINGS = BudgetSettings.forWindow(10 * SECOND_NANOS);
    private static final int MIN_RESERVE_ROUTERS = SETTINGS.minReserveRouters();

    private static MemberChange change(String role, long processId, MemberState oldState, MemberState newState) {
        MemberInfo member = new MemberInfo(role + processId, "10.0.0.1:9000", role, "zone", processId);
        return new MemberChange(member, Optional.ofNullable(oldState), newState);
    }

    private static void addRouters(RouterCountTracker tracker, int first, int last, long nowNanos) {
        for (int processId = first; processId <= last; processId++) {
            tracker.onChanges(List.of(change(NodeRoles.ROUTER, processId, null, MemberState.ALIVE)), nowNanos);
        }
    }

    private static void keepQuorumContact(RouterCountTracker tracker, long first, long last) {
        for (long nowNanos = first; nowNanos <= last; nowNanos += SECOND_NANOS / 2) {
            tracker.onQuorumContact(nowNanos);
        }
    }

    @Test
    void reportedCountAppliesUntilMembersAreKnown() {
        RouterCountTracker tracker = new RouterCountTracker(SETTINGS, true, 0);
        assertThat(tracker.liveRouters(0)).isEqualTo(1);
        tracker.onReportedCount(12);
        assertThat(tracker.liveRouters(0)).isEqualTo(12);
        addRouters(tracker, 1, 3, 0);
        assertThat(tracker.liveRouters(0)).as("not all may have been met").isEqualTo(12);
        keepQuorumContact(tracker, 0, 5 * SECOND_NANOS);
        assertThat(tracker.liveRouters(5 * SECOND_NANOS)).isEqualTo(4);
    }

    @Test
    void controllersDeadRoutersAndDuplicatesAreNotCounted() {
        RouterCountTracker tracker = new RouterCountTracker(SETTINGS, true, 0);
        keepQuorumContact(tracker, 0, 5 * SECOND_NANOS);
        addRouters(tracker, 1, 3, 0);
        tracker.onChanges(
                List.of(
                        change(NodeRoles.CONTROLLER, 9, null, MemberState.ALIVE),
                        change(NodeRoles.ROUTER, 1, MemberState.ALIVE, MemberState.SUSPECT)),
                SECOND_NANOS);
        assertThat(tracker.liveRouters(5 * SECOND_NANOS)).isEqualTo(4);
        tracker.onChanges(
                List.of(
                        change(NodeRoles.ROUTER, 1, MemberState.SUSPECT, MemberState.DEAD),
                        change(NodeRoles.ROUTER, 2, MemberState.ALIVE, MemberState.LEFT)),
                SECOND_NANOS);
        assertThat(tracker.liveRouters(5 * SECOND_NANOS)).isEqualTo(2);
    }

    @Test
    void startingRouterAssumesTheMinimumReserve() {
        RouterCountTracker tracker = new RouterCountTracker(SETTINGS, false, 0);
        assertThat(tracker.budgetShares(0)).isEqualTo(MIN_RESERVE_ROUTERS);
        keepQuorumContact(tracker, 0, 3 * SECOND_NANOS);
        addRouters(tracker, 1, 1, 0);
        assertThat(tracker.budgetShares(SECOND_NANOS)).isEqualTo(MIN_RESERVE_ROUTERS);
        assertThat(tracker.budgetShares(3 * SECOND_NANOS)).isEqualTo(2);
        addRouters(tracker, 2, 20, SECOND_NANOS);
        assertThat(tracker.budgetShares(SECOND_NANOS)).isEqualTo(21);
    }

    @Test
    void newOrPartitionedRouterCountsAllRecentlySeenRouters() {
        RouterCountTracker tracker = new RouterCountTracker(SETTINGS, false, 0);
        keepQuorumContact(tracker, 0, 18 * SECOND_NANOS);
        addRouters(tracker, 1, 9, 0);
        assertThat(tracker.budgetShares(18 * SECOND_NANOS)).isEqualTo(10);
        for (int processId = 1; processId <= 9; processId++) {
            tracker.onChanges(
                    List.of(change(NodeRoles.ROUTER, processId, MemberState.SUSPECT, MemberState.DEAD)),
                    22 * SECOND_NANOS);
        }
        assertThat(tracker.budgetShares(24 * SECOND_NANOS)).isEqualTo(10);
        assertThat(tracker.liveRouters(24 * SECOND_NANOS)).isEqualTo(1);
    }

    @Test
    void routerWithQuorumContactCountsLiveRouters() {
        RouterCountTracker tracker = new RouterCountTracker(SETTINGS, false, 0);
        keepQuorumContact(tracker, 0, 18 * SECOND_NANOS);
        addRouters(tracker, 1, 9, 0);
        tracker.onChanges(
                List.of(change(NodeRoles.ROUTER, 4, MemberState.SUSPECT, MemberState.DEAD)), 18 * SECOND_NANOS);
        assertThat(tracker.budgetShares(18 * SECOND_NANOS)).isEqualTo(9);
    }
}
