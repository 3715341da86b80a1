package burlarch.router;

import burlarch.coordination.membership.MemberChange;
import burlarch.node.MembershipService;
import burlarch.transport.SelectorEventLoop;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

/** Passes on how many routers there are whenever that changes. Lives on the loop. */
final class RouterCountMonitor implements MembershipService.Listener {
    private static final long PERIOD_NANOS = 500_000_000;

    private final SelectorEventLoop loop;
    private final RouterCountTracker count;
    private final IntConsumer sharersChanged;
    private final IntConsumer liveChanged;
    private BooleanSupplier inContact = () -> false;
    private int sharers;
    private int live;

    /**
     * @param sharersChanged takes the number by which budgets are divided
     * @param liveChanged takes the number of those that live
     */
    RouterCountMonitor(
            SelectorEventLoop loop, RouterCountTracker count, IntConsumer sharersChanged, IntConsumer liveChanged) {
        this.loop = loop;
        this.count = count;
        this.sharersChanged = sharersChanged;
        this.liveChanged = liveChanged;
    }

    /** @param contact whether more than half of the controllers can be reached */
    void start(BooleanSupplier contact) {
        inContact = contact;
        check();
    }

    /** Controllers tell how many routers are connected with them. */
    void onTold(int routers) {
        count.onTold(routers);
        update();
    }

    @Override
    public void onChanges(List<MemberChange> changes) {
        count.onChanges(changes, loop.nanoTime());
        update();
    }

    private void check() {
        loop.schedule(PERIOD_NANOS, this::check);
        update();
    }

    private void update() {
        long now = loop.nanoTime();
        if (inContact.getAsBoolean()) {
            count.onContact(now);
        }
        int newSharers = count.sharers(now);
        if (newSharers != sharers) {
            sharers = newSharers;
            sharersChanged.accept(newSharers);
        }
        int newLive = count.live(now);
        if (newLive != live) {
            live = newLive;
            liveChanged.accept(newLive);
        }
    }
}
