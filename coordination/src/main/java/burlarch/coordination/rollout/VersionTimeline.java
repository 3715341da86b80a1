package burlarch.coordination.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.OptionalLong;

/**
 * When each version of one model's weights became known. Whoever still has a version is out of date since the first
 * newer one, however many have followed.
 *
 * <p>Invariant <em>never late</em>: the number of entries is bounded, and forgetting one can only move the time at
 * which a version was superseded to an earlier moment.
 *
 * <p>Times are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class VersionTimeline {
    private static final int MAX_ENTRIES = 64;

    /** All versions below {@code version} are superseded since {@code sinceNanos}. */
    private record Entry(long version, long sinceNanos) {}

    /** By rising version and time. */
    private final Deque<Entry> entries = new ArrayDeque<>();

    /** Records a version that became known; one that is not newer than the newest changes nothing. */
    public void add(long version, long nowNanos) {
        if (version <= newest()) {
            return;
        }
        entries.addLast(new Entry(version, nowNanos));
        if (entries.size() > MAX_ENTRIES) {
            mergeOldest();
        }
    }

    /** Returns the newest known version, 0 if there is none. */
    public long newest() {
        return entries.isEmpty() ? 0 : entries.getLast().version();
    }

    /** Returns when the first version that is newer than the given one became known; empty if there is none. */
    public OptionalLong supersededAtNanos(long version) {
        for (Entry entry : entries) {
            if (entry.version() > version) {
                return OptionalLong.of(entry.sinceNanos());
            }
        }
        return OptionalLong.empty();
    }

    /** Returns the newest version that has been known for that time; 0 if there is none. */
    public long newestKnownFor(long durationNanos, long nowNanos) {
        Iterator<Entry> newestFirst = entries.descendingIterator();
        while (newestFirst.hasNext()) {
            Entry entry = newestFirst.next();
            if (nowNanos - entry.sinceNanos() >= durationNanos) {
                return entry.version();
            }
        }
        return 0;
    }

    private void mergeOldest() {
        Entry oldest = entries.removeFirst();
        Entry next = entries.removeFirst();
        entries.addFirst(new Entry(next.version(), oldest.sinceNanos()));
    }
}
