package burlarch.coordination.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** Probes that this member makes for others. Bounded: the oldest gives way. */
final class IndirectProbes {
    private static final int MAX_OPEN = 64;

    /**
     * @param sequence of the own ping
     * @param requester address of the one who asked, and its sequence
     * @param deadlineNanos when it is told that no answer came
     */
    record IndirectProbe(int sequence, String requester, int requesterSequence, long deadlineNanos) {}

    private final Deque<IndirectProbe> open = new ArrayDeque<>();

    void add(IndirectProbe relay) {
        if (open.size() >= MAX_OPEN) {
            open.removeFirst();
        }
        open.addLast(relay);
    }

    /** Removes and returns the relay with this own sequence, or null. */
    IndirectProbe removeBySequence(int sequence) {
        Iterator<IndirectProbe> relays = open.iterator();
        while (relays.hasNext()) {
            IndirectProbe relay = relays.next();
            if (relay.sequence() == sequence) {
                relays.remove();
                return relay;
            }
        }
        return null;
    }

    /** Removes and returns a relay that got no answer in time, or null. All wait equally long. */
    IndirectProbe pollOverdue(long now) {
        IndirectProbe oldest = open.peekFirst();
        return oldest != null && now - oldest.deadlineNanos() >= 0 ? open.removeFirst() : null;
    }

    long nanosUntilOverdue(long now, long atMost) {
        IndirectProbe oldest = open.peekFirst();
        return oldest == null ? atMost : Math.min(atMost, oldest.deadlineNanos() - now);
    }

    void clear() {
        open.clear();
    }
}
