package burlarch.simulation;

import java.util.PriorityQueue;

/**
 * Event queue and virtual clock of a discrete-event simulation.
 *
 * <p>Invariant (total order): events run in the order of their due time; events with the same due time run in the
 * order in which they were scheduled. A run therefore depends only on the scheduled events, and is reproducible.
 *
 * <p>Owned by one {@link Simulation}; not thread-safe.
 */
final class EventQueue {
    private record Event(long dueNanos, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byDueTime = Long.compare(dueNanos, other.dueNanos);
            return byDueTime != 0 ? byDueTime : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nextSequence;
    private long nowNanos;

    /** Returns the virtual time, in nanoseconds since the start of the simulation. */
    long nowNanos() {
        return nowNanos;
    }

    /** Schedules an action. A due time in the past is treated as the current time. */
    void schedule(long dueNanos, Runnable action) {
        events.add(new Event(Math.max(nowNanos, dueNanos), nextSequence++, action));
    }

    /** Runs all events that are due at or before {@code timeNanos}, then advances the clock to that time. */
    void runUntil(long timeNanos) {
        while (!events.isEmpty() && events.peek().dueNanos() <= timeNanos) {
            Event event = events.remove();
            nowNanos = event.dueNanos();
            event.action().run();
        }
        nowNanos = Math.max(nowNanos, timeNanos);
    }
}
