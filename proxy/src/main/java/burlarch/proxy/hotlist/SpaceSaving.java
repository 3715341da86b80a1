package burlarch.proxy.hotlist;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A Space-Saving summary (Metwally, Agrawal, El Abbadi 2005): a fixed number of counters, the least of which
 * passes to a key that has none. The new key inherits its count, as the key's own may have been as high, and
 * states that as the error: the true count is at most the count, and at least the count less the error.
 */
final class SpaceSaving {
    /** One counted key as it stood; {@code perSecond} is 0 for a key that has not come for long. */
    record Entry(HotKey key, long count, long error, double perSecond) {}

    private static final class Counter {
        HotKey key;
        long count;
        long error;
        /** Arrivals, each halved with every half-life since; as of {@code decayedNanos}. */
        double recent;

        long decayedNanos;
        int at;
    }

    private final double halfLifeNanos;
    private final Map<HotKey, Counter> counters = new HashMap<>();
    /** A heap with the least count at its top. */
    private final Counter[] heap;

    private int size;

    SpaceSaving(int capacity, long halfLifeNanos) {
        this.heap = new Counter[capacity];
        this.halfLifeNanos = halfLifeNanos;
    }

    void add(HotKey key, long nowNanos) {
        Counter counter = counters.get(key);
        if (counter == null) {
            counter = size < heap.length ? fresh() : evictLeast();
            counter.key = key;
            counter.decayedNanos = nowNanos;
            counters.put(key, counter);
        }
        counter.count++;
        // Only here and when it is shown: a count that nobody looks at needs no timer to decay.
        counter.recent = decayed(counter, nowNanos) + 1;
        counter.decayedNanos = nowNanos;
        sink(counter);
    }

    /** At the end of the heap is not its place: it is the least of all. */
    private Counter fresh() {
        Counter counter = new Counter();
        int at = size++;
        for (; at > 0; at = (at - 1) / 2) {
            place(heap[(at - 1) / 2], at);
        }
        place(counter, 0);
        return counter;
    }

    private Counter evictLeast() {
        Counter least = heap[0];
        counters.remove(least.key);
        least.error = least.count;
        // The rate has no stated error: it is of this key's own arrivals alone.
        least.recent = 0;
        return least;
    }

    private void sink(Counter counter) {
        int at = counter.at;
        for (int child = 2 * at + 1; child < size; child = 2 * at + 1) {
            if (child + 1 < size && heap[child + 1].count < heap[child].count) {
                child++;
            }
            if (heap[child].count >= counter.count) {
                break;
            }
            place(heap[child], at);
            at = child;
        }
        place(counter, at);
    }

    private void place(Counter counter, int at) {
        heap[at] = counter;
        counter.at = at;
    }

    private double decayed(Counter counter, long nowNanos) {
        return counter.recent * Math.exp(-Math.log(2) * (nowNanos - counter.decayedNanos) / halfLifeNanos);
    }

    /** All counters, in no order. */
    List<Entry> entries(long nowNanos) {
        // A steady rate fills the decaying count up to rate * half-life / ln 2.
        double perSecond = Math.log(2) / halfLifeNanos * 1e9;
        List<Entry> entries = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            Counter counter = heap[i];
            entries.add(new Entry(counter.key, counter.count, counter.error, decayed(counter, nowNanos) * perSecond));
        }
        return entries;
    }
}
