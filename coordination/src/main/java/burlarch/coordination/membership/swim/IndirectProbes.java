package burlarch.coordination.membership.swim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * The pending probes that this member makes on behalf of others. At most {@value #MAX_PENDING} are pending; beyond
 * that the oldest is dropped, and its requester gets neither ack nor nack.
 */
final class IndirectProbes {
    private static final int MAX_PENDING = 64;

    /**
     * A probe made for another member.
     *
     * @param sequence sequence number of the own ping
     * @param requester address of the member that requested it
     * @param requesterSequence the requester's sequence number, which the ack or nack echoes
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

    /** Removes and returns the probe whose own ping has this sequence number; null if there is none. */
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

    /**
     * Removes and returns a probe whose deadline has passed; null if there is none. All probes have the same
     * time-out, so the oldest is due first.
     */
    IndirectProbe pollOverdue(long nowNanos) {
        IndirectProbe oldest = pending.peekFirst();
        return oldest != null && nowNanos - oldest.deadlineNanos() >= 0 ? pending.removeFirst() : null;
    }

    /** Returns the nanoseconds until {@link #pollOverdue} returns a probe, at most {@code atMostNanos}. */
    long nanosUntilOverdue(long nowNanos, long atMostNanos) {
        IndirectProbe oldest = pending.peekFirst();
        return oldest == null ? atMostNanos : Math.min(atMostNanos, oldest.deadlineNanos() - nowNanos);
    }

    void clear() {
        pending.clear();
    }
}
