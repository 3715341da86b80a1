package burlarch.fleet.router;

import burlarch.fleet.engine.KvReader;
import burlarch.routing.KvEvents;
import burlarch.routing.Planner;

/** Hands what engines and stores tell of kept parts to the planner, under its lock. */
final class IndexFeed implements KvReader {
    private final Planner planner;
    private final Object lock;

    IndexFeed(Planner planner, Object lock) {
        this.planner = planner;
        this.lock = lock;
    }

    @Override
    public void onKvEvents(KvEvents events) {
        synchronized (lock) {
            planner.onKvEvents(events, System.nanoTime());
        }
    }

    @Override
    public void onKvList(KvEvents list) {
        synchronized (lock) {
            planner.onKvList(list, System.nanoTime());
        }
    }
}
