package burlarch.router.prefixcache;

import burlarch.engine.KvOffset;
import burlarch.engine.KvUpdate;
import burlarch.routing.Planner;
import java.util.Optional;
import java.util.Set;

/**
 * Updater of the planner's prefix index: passes each update of engines and stores to the planner exactly once. May be
 * called on any thread; guarded by the planner's lock.
 */
public final class PrefixIndexUpdater {
    private final Planner planner;
    private final Object lock;
    private final SourceOffsets offsets = new SourceOffsets();

    /**
     * Creates an updater that has applied no updates.
     *
     * @param lock guards the planner; every other caller of the planner holds it too
     */
    public PrefixIndexUpdater(Planner planner, Object lock) {
        this.planner = planner;
        this.lock = lock;
    }

    /**
     * Applies an update unless it is a duplicate.
     *
     * @return whether the update was new to this router
     */
    boolean apply(KvUpdate update) {
        synchronized (lock) {
            KvUpdate newUpdate = offsets.accept(update);
            if (newUpdate == null) {
                return false;
            }
            if (newUpdate.snapshot()) {
                planner.onKvList(newUpdate.events(), System.nanoTime());
            } else {
                planner.onKvEvents(newUpdate.events(), System.nanoTime());
            }
            return true;
        }
    }

    /** The offset up to which the events of a source are known; empty if the source is unknown. */
    Optional<KvOffset> offsetOf(String source) {
        synchronized (lock) {
            return offsets.offsetOf(source);
        }
    }

    /** Removes the offsets of all sources except the given ones. */
    void retain(Set<String> sources) {
        synchronized (lock) {
            offsets.retain(sources);
        }
    }
}
