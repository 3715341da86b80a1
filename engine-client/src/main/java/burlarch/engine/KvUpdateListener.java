package burlarch.engine;

/** Takes what is told of kept parts. The calls for one source come one after another. */
public interface KvUpdateListener {
    /** Events in their order, or the whole of what is kept. A new epoch voids all that was known before. */
    void onUpdate(KvUpdate news);
}
