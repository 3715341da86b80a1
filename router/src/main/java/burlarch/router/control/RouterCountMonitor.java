package burlarch.router.control;

import burlarch.coordination.membership.MemberChange;
import burlarch.node.MembershipService;
import burlarch.transport.SelectorEventLoop;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

/** Monitor that reports the number of routers whenever it changes. Runs on the event loop. */
public final class RouterCountMonitor implements MembershipService.Listener {
    private static final long CHECK_INTERVAL_NANOS = 500_000_000;

    private final SelectorEventLoop loop;
    private final RouterCountTracker tracker;
    private final IntConsumer onBudgetShares;
    private final IntConsumer onLiveRouters;
    private BooleanSupplier hasQuorumContact = () -> false;
    private int budgetShares;
    private int liveRouters;

    /**
     * Creates a monitor that has not started.
     *
     * @param onBudgetShares receives the number of routers that share each budget
     * @param onLiveRouters receives the number of live routers
     */
    public RouterCountMonitor(
            SelectorEventLoop loop, RouterCountTracker tracker, IntConsumer onBudgetShares, IntConsumer onLiveRouters) {
        this.loop = loop;
        this.tracker = tracker;
        this.onBudgetShares = onBudgetShares;
        this.onLiveRouters = onLiveRouters;
    }

    /**
     * Starts the periodic check.
     *
     * @param quorumContact whether more than half of the controllers are reachable
     */
    public void start(BooleanSupplier quorumContact) {
        hasQuorumContact = quorumContact;
        check();
    }

    /** Called when the controllers report how many routers are connected to them. */
    public void onReportedCount(int routers) {
        tracker.onReportedCount(routers);
        update();
    }

    @Override
    public void onChanges(List<MemberChange> changes) {
        tracker.onChanges(changes, loop.nanoTime());
        update();
    }

    private void check() {
        loop.schedule(CHECK_INTERVAL_NANOS, this::check);
        update();
    }

    private void update() {
        long nowNanos = loop.nanoTime();
        if (hasQuorumContact.getAsBoolean()) {
            tracker.onQuorumContact(nowNanos);
        }
        int newBudgetShares = tracker.budgetShares(nowNanos);
        if (newBudgetShares != budgetShares) {
            budgetShares = newBudgetShares;
            onBudgetShares.accept(newBudgetShares);
        }
        int newLiveRouters = tracker.liveRouters(nowNanos);
        if (newLiveRouters != liveRouters) {
            liveRouters = newLiveRouters;
            onLiveRouters.accept(newLiveRouters);
        }
    }
}
