package burlarch.router;

import burlarch.engine.KvOffset;
import burlarch.engine.KvUpdate;
import burlarch.router.prefixcache.SourceOffsets;
import burlarch.routing.Planner;
import java.util.Set;

/** Hands what engines and stores tell of kept parts to the planner, under its lock; nothing twice. */
final class PrefixIndexUpdater {
    private final Planner planner;
    private final Object lock;
    private final SourceOffsets positions = new SourceOffsets();

    PrefixIndexUpdater(Planner planner, Object lock) {
        this.planner = planner;
        this.lock = lock;
    }

    /** @return whether it was new here */
    boolean takeIn(KvUpdate news) {
        synchronized (lock) {
            KvUpdate fresh = positions.accept(news);
            if (fresh == null) {
                return false;
            }
            if (fresh.snapshot()) {
                planner.onKvList(fresh.events(), System.nanoTime());
            } else {
                planner.onKvEvents(fresh.events(), System.nanoTime());
            }
            return true;
        }
    }

    /** How far the source is known, or null where it is not. */
    KvOffset position(String source) {
        synchronized (lock) {
            return positions.offsetOf(source);
        }
    }

    /** Forgets how far all sources but these are known. */
    void retain(Set<String> sources) {
        synchronized (lock) {
            positions.retain(sources);
        }
    }
}
