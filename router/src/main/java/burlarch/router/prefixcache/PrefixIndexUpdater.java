package burlarch.router.prefixcache;

import burlarch.engine.KvOffset;
import burlarch.engine.KvUpdate;
import burlarch.routing.Planner;
import java.util.Optional;
import java.util.Set;

/**
 * Hands the updates of engines and stores to the planner, none of them twice. May be called on any thread;
 * guarded by the planner's lock.
 */
public final class PrefixIndexUpdater {
    private final Planner planner;
    private final Object lock;
    private final SourceOffsets offsets = new SourceOffsets();

    /** @param lock guards the planner; every other caller of the planner holds it too */
    public PrefixIndexUpdater(Planner planner, Object lock) {
        this.planner = planner;
        this.lock = lock;
    }

    /** @return whether the update was new here */
    boolean apply(KvUpdate update) {
        synchronized (lock) {
            KvUpdate fresh = offsets.accept(update);
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

    /** Up to which offset the source is known; empty if it is unknown. */
    Optional<KvOffset> offsetOf(String source) {
        synchronized (lock) {
            return offsets.offsetOf(source);
        }
    }

    /** Forgets the offsets of all other sources. */
    void retain(Set<String> sources) {
        synchronized (lock) {
            offsets.retain(sources);
        }
    }
}
