package burlarch.router.prefixcache;

import burlarch.engine.KvUpdate;
import java.util.ArrayList;
import java.util.List;

/**
 * Batch of updates that wait to be published together. The batch is sent when its oldest update has waited for
 * {@link #MAX_DELAY_NANOS} or when it is full. Not thread-safe.
 */
public final class OutgoingBatch {
    /** Maximum wait of the oldest update; short, because a router that shares its sources reads few of them. */
    public static final long MAX_DELAY_NANOS = 20_000_000;

    /** Number of updates, or of events in them, at which a batch is full. */
    private static final int MAX_COUNT = 64;

    private List<KvUpdate> waitingUpdates = new ArrayList<>();
    private int eventCount;

    /**
     * Adds an update to the batch.
     *
     * @return whether the update is the first one of its batch, so that the delay starts with it
     */
    public boolean add(KvUpdate update) {
        waitingUpdates.add(update);
        eventCount += update.events().events().size();
        return waitingUpdates.size() == 1;
    }

    /** Whether the batch must be sent immediately. */
    public boolean isFull() {
        return eventCount >= MAX_COUNT || waitingUpdates.size() >= MAX_COUNT;
    }

    /** Removes and returns the waiting updates; empty if there are none. */
    public List<KvUpdate> take() {
        List<KvUpdate> takenUpdates = waitingUpdates;
        waitingUpdates = new ArrayList<>();
        eventCount = 0;
        return takenUpdates;
    }
}
