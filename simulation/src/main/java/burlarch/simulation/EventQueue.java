package burlarch.simulation;

import java.util.PriorityQueue;

/** What is to happen, in the order of virtual time, and of scheduling where the time is the same. */
final class EventQueue {
    private record Event(long time, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long number;
    private long now;

    long now() {
        return now;
    }

    /** Schedules for {@code time}, or for now if that is past. */
    void schedule(long time, Runnable action) {
        events.add(new Event(Math.max(now, time), number++, action));
    }

    /** Does all that is due up to {@code time}, which is the time afterwards. */
    void runUntil(long time) {
        while (!events.isEmpty() && events.peek().time() <= time) {
            Event event = events.remove();
            now = event.time();
            event.action().run();
        }
        now = Math.max(now, time);
    }
}
