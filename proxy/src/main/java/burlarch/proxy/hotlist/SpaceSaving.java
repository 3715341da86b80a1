package burlarch.proxy.hotlist;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Space-Saving summary (Metwally, Agrawal, El Abbadi 2005) of the most frequent keys, with a fixed number of counters.
 * A key without a counter takes over the counter with the lowest count. It inherits that count, because its own earlier
 * count may have been as high, and reports it as its error: the true count is at most {@code count} and at least
 * {@code count - error}. Not thread-safe.
 */
final class SpaceSaving {
    /** Copy of one counter; {@code requestsPerSecond} decays towards 0 while the key is not requested. */
    record Entry(HotKey key, long count, long error, double requestsPerSecond) {}

    private static final class Counter {
        HotKey key;
        long count;
        long error;
        /** Exponentially decayed number of requests as of {@code decayedNanos}. */
        double decayedCount;

        long decayedNanos;
        int heapIndex;
    }

    private final double halfLifeNanos;
    private final Map<HotKey, Counter> counters = new HashMap<>();
    /** Binary min-heap by count. */
    private final Counter[] heap;

    private int size;

    SpaceSaving(int capacity, long halfLifeNanos) {
        this.heap = new Counter[capacity];
        this.halfLifeNanos = halfLifeNanos;
    }

    /** Counts one request for the key. */
    void add(HotKey key, long nowNanos) {
        Counter counter = counters.get(key);
        if (counter == null) {
            counter = size < heap.length ? addCounter() : evictLowest();
            counter.key = key;
            counter.decayedNanos = nowNanos;
            counters.put(key, counter);
        }
        counter.count++;
        // Decayed on update and on read only, so that no timer is needed.
        counter.decayedCount = decayedCountAt(counter, nowNanos) + 1;
        counter.decayedNanos = nowNanos;
        siftDown(counter);
    }

    /** Adds a counter at the root of the heap, as its count of 0 is the lowest. */
    private Counter addCounter() {
        Counter counter = new Counter();
        int index = size++;
        for (; index > 0; index = (index - 1) / 2) {
            place(heap[(index - 1) / 2], index);
        }
        place(counter, 0);
        return counter;
    }

    private Counter evictLowest() {
        Counter lowest = heap[0];
        counters.remove(lowest.key);
        lowest.error = lowest.count;
        // The rate is reported without an error, so it counts only the new key's own requests.
        lowest.decayedCount = 0;
        return lowest;
    }

    private void siftDown(Counter counter) {
        int index = counter.heapIndex;
        for (int child = 2 * index + 1; child < size; child = 2 * index + 1) {
            if (child + 1 < size && heap[child + 1].count < heap[child].count) {
                child++;
            }
            if (heap[child].count >= counter.count) {
                break;
            }
            place(heap[child], index);
            index = child;
        }
        place(counter, index);
    }

    private void place(Counter counter, int index) {
        heap[index] = counter;
        counter.heapIndex = index;
    }

    private double decayedCountAt(Counter counter, long nowNanos) {
        return counter.decayedCount * Math.exp(-Math.log(2) * (nowNanos - counter.decayedNanos) / halfLifeNanos);
    }

    /** Returns copies of all counters, in no particular order. */
    List<Entry> entries(long nowNanos) {
        // At a steady rate the decayed count converges to rate * half-life / ln 2.
        double countToRate = Math.log(2) / halfLifeNanos * 1e9;
        List<Entry> entries = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            Counter counter = heap[i];
            entries.add(new Entry(
                    counter.key, counter.count, counter.error, decayedCountAt(counter, nowNanos) * countToRate));
        }
        return entries;
    }
}
