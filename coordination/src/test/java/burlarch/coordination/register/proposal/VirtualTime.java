package burlarch.coordination.register.proposal;

import java.util.PriorityQueue;

/** A virtual clock with a queue of events, which run in the order of their times. */
final class VirtualTime {
    private record Event(long atNanos, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>((first, second) -> first.atNanos() != second.atNanos()
                    ? Long.compare(first.atNanos(), second.atNanos())
                    : Long.compare(first.order(), second.order()));
    private long now;
    private long scheduled;

    long now() {
        return now;
    }

    void after(long delayNanos, Runnable action) {
        events.add(new Event(now + Math.max(0, delayNanos), scheduled++, action));
    }

    /** Runs all events up to and including a time. */
    void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.remove();
            now = event.atNanos();
            event.action().run();
        }
        now = endNanos;
    }
}
