package burlarch.coordination.membership.swim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Probes that this member makes on behalf of others. At most {@value #MAX_PENDING} are pending; beyond that the oldest
 * is dropped, and its requester gets neither ack nor nack.
 */
final class IndirectProbes {
    private static final int MAX_PENDING = 64;

    /**
     * A probe made for another member.
     *
     * @param sequence of the own ping
     * @param requester address of the member that requested it
     * @param requesterSequence the requester's sequence, which goes into the ack or nack
     * @param deadlineNanos when the requester gets a nack
     */
    record IndirectProbe(int sequence, String requester, int requesterSequence, long deadlineNanos) {}

    private final Deque<IndirectProbe> pending = new ArrayDeque<>();

    void add(IndirectProbe probe) {
        if (pending.size() >= MAX_PENDING) {
            pending.removeFirst();
        }
        pending.addLast(probe);
    }

    /** Removes and returns the probe with this own sequence, or returns null. */
    IndirectProbe removeBySequence(int sequence) {
        Iterator<IndirectProbe> probes = pending.iterator();
        while (probes.hasNext()) {
            IndirectProbe probe = probes.next();
            if (probe.sequence() == sequence) {
                probes.remove();
                return probe;
            }
        }
        return null;
    }

    /** Removes and returns a probe whose deadline has passed, or returns null. All wait equally long. */
    IndirectProbe pollOverdue(long nowNanos) {
        IndirectProbe oldest = pending.peekFirst();
        return oldest != null && nowNanos - oldest.deadlineNanos() >= 0 ? pending.removeFirst() : null;
    }

    /** Nanoseconds until {@link #pollOverdue} has one, at most {@code atMostNanos}. */
    long nanosUntilOverdue(long nowNanos, long atMostNanos) {
        IndirectProbe oldest = pending.peekFirst();
        return oldest == null ? atMostNanos : Math.min(atMostNanos, oldest.deadlineNanos() - nowNanos);
    }

    void clear() {
        pending.clear();
    }
}
