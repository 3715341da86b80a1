package burlarch.router;

import burlarch.engine.KvNews;
import burlarch.engine.KvPosition;
import burlarch.router.prefixcache.SourcePositions;
import burlarch.routing.Planner;
import java.util.Set;

/** Hands what engines and stores tell of kept parts to the planner, under its lock; nothing twice. */
final class IndexFeed {
    private final Planner planner;
    private final Object lock;
    private final SourcePositions positions = new SourcePositions();

    IndexFeed(Planner planner, Object lock) {
        this.planner = planner;
        this.lock = lock;
    }

    /** @return whether it was new here */
    boolean takeIn(KvNews news) {
        synchronized (lock) {
            KvNews fresh = positions.accept(news);
            if (fresh == null) {
                return false;
            }
            if (fresh.list()) {
                planner.onKvList(fresh.kept(), System.nanoTime());
            } else {
                planner.onKvEvents(fresh.kept(), System.nanoTime());
            }
            return true;
        }
    }

    /** How far the source is known, or null where it is not. */
    KvPosition position(String source) {
        synchronized (lock) {
            return positions.of(source);
        }
    }

    /** Forgets how far all sources but these are known. */
    void retain(Set<String> sources) {
        synchronized (lock) {
            positions.retain(sources);
        }
    }
}
