package burlarch.router.prefixcache;

import burlarch.coordination.ownership.RendezvousAssignment;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which sources a router reads itself. Each source holds only a few calls at once. As long as it can hold one
 * of every router, all routers read it. Otherwise a single router reads it, chosen by rendezvous hashing over
 * the live routers, and publishes what it has read. It needs no standby: all routers know up to which offset
 * the source was read, so the next reader continues from there and misses nothing. Immutable.
 */
public final class SourceAssignment {
    /** Calls that are left to others, and to calls that have not ended when the next one begins. */
    private static final int RESERVED_CALLS = 2;

    private final String self;
    private final int routers;
    private final Set<String> others;

    /**
     * The assignment for one set of routers.
     *
     * @param routers number of live routers, this one included, as far as is known
     * @param others names of the other live routers that are known; at times fewer than that number
     */
    public SourceAssignment(String self, int routers, Collection<String> others) {
        this.self = self;
        this.routers = Math.max(routers, others.size() + 1);
        this.others = new TreeSet<>(others);
        this.others.remove(self);
    }

    /**
     * Whether a single router reads a source for all.
     *
     * @param callLimit how many calls the source holds at once
     */
    public boolean isShared(int callLimit) {
        return routers > maxReaders(callLimit);
    }

    /**
     * Whether this router reads the source.
     *
     * @param callLimit how many calls the source holds at once
     */
    public boolean isReader(String source, int callLimit) {
        return !isShared(callLimit) || mayBeReader(source, callLimit) && hasHighestScore(source);
    }

    /**
     * Limits the sources of a router that knows few others yet and would otherwise read nearly all. Only those
     * routers may read a source whose score is among the best that the source could bear; the best one of all
     * is among them except in one case in thousands.
     */
    private boolean mayBeReader(String source, int callLimit) {
        return 1 - RendezvousAssignment.score(self, source) < (double) maxReaders(callLimit) / routers;
    }

    private boolean hasHighestScore(String source) {
        double own = RendezvousAssignment.score(self, source);
        for (String other : others) {
            double score = RendezvousAssignment.score(other, source);
            if (score > own || score == own && other.compareTo(self) < 0) {
                return false;
            }
        }
        return true;
    }

    private static int maxReaders(int callLimit) {
        return Math.max(1, callLimit - RESERVED_CALLS);
    }
}
