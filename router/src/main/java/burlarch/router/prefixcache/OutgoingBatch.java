package burlarch.router.prefixcache;

import burlarch.engine.KvUpdate;
import java.util.ArrayList;
import java.util.List;

/** News that waits to be passed on together. It leaves when it is old or much; what is more is not kept. */
public final class OutgoingBatch {
    /** How long the oldest piece waits, nanoseconds. */
    public static final long DELAY_NANOS = 50_000_000;

    private static final int FULL_EVENTS = 64;

    private List<KvUpdate> waiting = new ArrayList<>();
    private int events;

    /** @return whether it is the first that waits, so that the time begins with it */
    public boolean add(KvUpdate news) {
        waiting.add(news);
        events += news.events().events().size();
        return waiting.size() == 1;
    }

    /** Whether it is to leave at once. */
    public boolean isFull() {
        return events >= FULL_EVENTS || waiting.size() >= FULL_EVENTS;
    }

    /** What waits, which is then gone from here; empty where nothing does. */
    public List<KvUpdate> take() {
        List<KvUpdate> taken = waiting;
        waiting = new ArrayList<>();
        events = 0;
        return taken;
    }
}
