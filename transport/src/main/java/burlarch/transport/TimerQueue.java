package burlarch.transport;

import java.util.TreeSet;

/** Priority queue of the timers of one event loop, ordered by due time and then by creation. */
final class TimerQueue {
    /** A task with its due time. */
    abstract static class Entry implements Comparable<Entry> {
        private final long dueNanos;
        private final long sequence;
        private final Runnable task;

        /** @param sequence unique in the queue; increases with each entry */
        Entry(long dueNanos, long sequence, Runnable task) {
            this.dueNanos = dueNanos;
            this.sequence = sequence;
            this.task = task;
        }

        @Override
        public int compareTo(Entry other) {
            int byDueTime = Long.signum(dueNanos - other.dueNanos);
            return byDueTime != 0 ? byDueTime : Long.compare(sequence, other.sequence);
        }
    }

    private final TreeSet<Entry> entries = new TreeSet<>();

    boolean isEmpty() {
        return entries.isEmpty();
    }

    void add(Entry entry) {
        entries.add(entry);
    }

    void remove(Entry entry) {
        entries.remove(entry);
    }

    /** Returns the time until the first timer is due; 0 or less if it is due already. The queue must not be empty. */
    long nanosUntilFirst(long nowNanos) {
        return entries.first().dueNanos - nowNanos;
    }

    /** Removes the first timer that is due and returns its task; null if none is due. */
    Runnable pollDue(long nowNanos) {
        if (entries.isEmpty() || nanosUntilFirst(nowNanos) > 0) {
            return null;
        }
        return entries.pollFirst().task;
    }
}
