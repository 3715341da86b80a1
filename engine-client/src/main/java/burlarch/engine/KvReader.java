package burlarch.engine;

/** Takes what is told of kept parts. The calls for one source come one after another. */
public interface KvReader {
    /** Events in their order, or the whole of what is kept. A new epoch voids all that was known before. */
    void onKvNews(KvNews news);
}
