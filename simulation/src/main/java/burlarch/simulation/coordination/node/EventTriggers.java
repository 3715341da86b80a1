package burlarch.simulation.coordination.node;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Registry of actions that wait for an event in the fleet. Each action runs once, at the next event of its kind. */
public final class EventTriggers {
    /** Events that an action may wait for; scenarios name them by the lower-case name of the constant. */
    public enum Event {
        /** An operator sends a change. */
        SENT,
        /** A controller receives an operator's change. */
        CALL,
        /** A controller acknowledges a change; the response is on its way. */
        ANSWERED,
        /** An operator receives the acknowledgement. */
        ACKNOWLEDGED,
        /** An engine accepts an order, or an instance's announcement is acknowledged. */
        TAKEN
    }

    private final Map<Event, List<Runnable>> pending = new EnumMap<>(Event.class);

    /** Adds an action for the next event of that kind. */
    public void await(Event event, Runnable action) {
        pending.computeIfAbsent(event, key -> new ArrayList<>()).add(action);
    }

    /** Runs and removes the actions that wait for this event. */
    public void fire(Event event) {
        List<Runnable> actions = pending.remove(event);
        if (actions != null) {
            actions.forEach(Runnable::run);
        }
    }
}
