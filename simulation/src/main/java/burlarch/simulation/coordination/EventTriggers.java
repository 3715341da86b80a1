package burlarch.simulation.coordination;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Steps of a scenario that wait for something to happen; each is taken once, at the next such event. */
final class EventTriggers {
    /** What a step may wait for. */
    enum Event {
        /** An operator sends a change. */
        SENT,
        /** A controller gets an operator's call. */
        CALL,
        /** A controller acknowledges a change; the answer is on its way. */
        ANSWERED,
        /** An operator gets the acknowledgement. */
        ACKNOWLEDGED,
        /** An engine takes an order, or an instance's announcement is acknowledged. */
        TAKEN
    }

    private final Map<Event, List<Runnable>> waiting = new EnumMap<>(Event.class);

    void await(Event event, Runnable step) {
        waiting.computeIfAbsent(event, key -> new ArrayList<>()).add(step);
    }

    void fire(Event event) {
        List<Runnable> steps = waiting.remove(event);
        if (steps != null) {
            steps.forEach(Runnable::run);
        }
    }
}
