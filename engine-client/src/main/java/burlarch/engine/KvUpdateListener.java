package burlarch.engine;

/** Listener for cache updates of sources. Calls for one source are sequential and may come on any thread. */
public interface KvUpdateListener {
    /** Receives events in their order, or a snapshot. An update with a new epoch invalidates all earlier ones. */
    void onUpdate(KvUpdate update);
}
