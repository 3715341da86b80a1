package burlarch.router.prefixcache;

import burlarch.engine.KvUpdate;
import java.util.ArrayList;
import java.util.List;

/**
 * Updates that wait to be published together. A batch is sent when its oldest update has waited for
 * {@link #DELAY_NANOS} or when it is full. Not thread-safe.
 */
public final class OutgoingBatch {
    /** How long the oldest update waits: briefly, because a router that shares its sources reads few of them. */
    public static final long DELAY_NANOS = 20_000_000;

    /** A batch with that many updates, or that many events in them, is full. */
    private static final int FULL_COUNT = 64;

    private List<KvUpdate> waiting = new ArrayList<>();
    private int eventCount;

    /** @return whether the update is the first of its batch, so that the delay starts with it */
    public boolean add(KvUpdate update) {
        waiting.add(update);
        eventCount += update.events().events().size();
        return waiting.size() == 1;
    }

    /** Whether the batch must be sent at once. */
    public boolean isFull() {
        return eventCount >= FULL_COUNT || waiting.size() >= FULL_COUNT;
    }

    /** Removes and returns the updates that wait; empty if there are none. */
    public List<KvUpdate> take() {
        List<KvUpdate> taken = waiting;
        waiting = new ArrayList<>();
        eventCount = 0;
        return taken;
    }
}
