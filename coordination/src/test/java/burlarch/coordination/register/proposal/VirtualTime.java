package burlarch.coordination.register.proposal;

import java.util.PriorityQueue;

/** Events in the order of their times. */
final class VirtualTime {
    private record Event(long at, long order, Runnable action) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) ->
            one.at() != other.at() ? Long.compare(one.at(), other.at()) : Long.compare(one.order(), other.order()));
    private long now;
    private long count;

    long now() {
        return now;
    }

    void after(long delay, Runnable action) {
        events.add(new Event(now + Math.max(0, delay), count++, action));
    }

    /** Runs all events up to a time. */
    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.remove();
            now = event.at();
            event.action().run();
        }
        now = end;
    }
}
