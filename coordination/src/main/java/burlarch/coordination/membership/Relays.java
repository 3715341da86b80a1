package burlarch.coordination.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** Probes that this member makes for others. Bounded: the oldest gives way. */
final class Relays {
    private static final int MAX_OPEN = 64;

    /**
     * @param sequence of the own ping
     * @param requester address of the one who asked, and its sequence
     * @param deadline when it is told that no answer came
     */
    record Relay(int sequence, String requester, int requesterSequence, long deadline) {}

    private final Deque<Relay> open = new ArrayDeque<>();

    void add(Relay relay) {
        if (open.size() >= MAX_OPEN) {
            open.removeFirst();
        }
        open.addLast(relay);
    }

    /** Removes and returns the relay with this own sequence, or null. */
    Relay answered(int sequence) {
        Iterator<Relay> relays = open.iterator();
        while (relays.hasNext()) {
            Relay relay = relays.next();
            if (relay.sequence() == sequence) {
                relays.remove();
                return relay;
            }
        }
        return null;
    }

    /** Removes and returns a relay that got no answer in time, or null. All wait equally long. */
    Relay overdue(long now) {
        Relay oldest = open.peekFirst();
        return oldest != null && now - oldest.deadline() >= 0 ? open.removeFirst() : null;
    }

    long untilOverdue(long now, long atMost) {
        Relay oldest = open.peekFirst();
        return oldest == null ? atMost : Math.min(atMost, oldest.deadline() - now);
    }

    void clear() {
        open.clear();
    }
}
