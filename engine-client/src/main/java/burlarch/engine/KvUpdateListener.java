package burlarch.engine;

/** Receives updates of sources. The calls for one source come one after another, on any thread. */
public interface KvUpdateListener {
    /** Events in their order, or a snapshot. A new epoch invalidates everything that was known before. */
    void onUpdate(KvUpdate update);
}
