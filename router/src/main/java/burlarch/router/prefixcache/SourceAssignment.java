package burlarch.router.prefixcache;

import burlarch.coordination.ownership.RendezvousAssignment;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * Assignment of sources to routers: decides which sources a router reads itself. Each source accepts only a few
 * concurrent calls. If it accepts one of every router, all routers read it. Otherwise a single router, chosen by
 * rendezvous hashing over the live routers, reads it and publishes what it has read. No standby is needed: all
 * routers know up to which offset the source was read, so the next reader continues there without a gap. Immutable.
 */
public final class SourceAssignment {
    /** Calls reserved for other callers and for calls that have not ended when the next one begins. */
    private static final int RESERVED_CALLS = 2;

    private final String self;
    private final int routerCount;
    private final Set<String> otherRouters;

    /**
     * Creates the assignment for one set of routers.
     *
     * @param self name of this router
     * @param routerCount estimated number of live routers, including this one
     * @param otherRouters names of the other known live routers; may be fewer than the estimated number
     */
    public SourceAssignment(String self, int routerCount, Collection<String> otherRouters) {
        this.self = self;
        this.routerCount = Math.max(routerCount, otherRouters.size() + 1);
        this.otherRouters = new TreeSet<>(otherRouters);
        this.otherRouters.remove(self);
    }

    /**
     * Whether a single router reads a source for all routers.
     *
     * @param callLimit maximum number of concurrent calls of the source
     */
    public boolean isShared(int callLimit) {
        return routerCount > maxReaders(callLimit);
    }

    /**
     * Whether this router reads a source.
     *
     * @param callLimit maximum number of concurrent calls of the source
     */
    public boolean isReader(String source, int callLimit) {
        return !isShared(callLimit) || mayBeReader(source, callLimit) && hasHighestScore(source);
    }

    /**
     * Limits the sources of a router that knows few others yet and would otherwise read nearly all sources. A router
     * may read a source only if its score is so high that the expected number of such routers does not exceed the
     * call limit. The router with the highest score is among them except in one case in thousands.
     */
    private boolean mayBeReader(String source, int callLimit) {
        return 1 - RendezvousAssignment.score(self, source) < (double) maxReaders(callLimit) / routerCount;
    }

    private boolean hasHighestScore(String source) {
        double ownScore = RendezvousAssignment.score(self, source);
        for (String other : otherRouters) {
            double score = RendezvousAssignment.score(other, source);
            if (score > ownScore || score == ownScore && other.compareTo(self) < 0) {
                return false;
            }
        }
        return true;
    }

    private static int maxReaders(int callLimit) {
        return Math.max(1, callLimit - RESERVED_CALLS);
    }
}
