package burlarch.router.prefixcache;

import burlarch.coordination.ownership.RendezvousAssignment;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which sources a router reads itself. Each source holds few calls at once. While it can hold one of every
 * router, all read it. Beyond, one router does, by rendezvous over those that live, and passes on what it
 * read. No other stands by: all know how far a source was read, so the next owner goes on from there and
 * loses nothing.
 */
public final class SourceAssignment {
    /**
     * Places at a source that are left to others, and to calls that have not ended yet when the next one
     * begins.
     */
    private static final int PLACES_LEFT = 2;

    private final String self;
    private final int routers;
    private final Set<String> others;

    /**
     * @param routers how many live, this one included, as far as is known
     * @param others names of the other live routers that are known; fewer than those at times
     */
    public SourceAssignment(String self, int routers, Collection<String> others) {
        this.self = self;
        this.routers = Math.max(routers, others.size() + 1);
        this.others = new TreeSet<>(others);
        this.others.remove(self);
    }

    /** Whether the source has one owner rather than being read by all. */
    public boolean isShared(int places) {
        return routers > followers(places);
    }

    /** Whether this router reads the source. */
    public boolean isReader(String source, int places) {
        return !isShared(places) || mayOwn(source, places) && isFirst(source);
    }

    /**
     * A router that knows few others yet would own nearly all. Those alone may that are among the few that
     * the source could bear; the best of all is among them but for one case in thousands.
     */
    private boolean mayOwn(String source, int places) {
        return 1 - RendezvousAssignment.score(self, source) < (double) followers(places) / routers;
    }

    private boolean isFirst(String source) {
        double own = RendezvousAssignment.score(self, source);
        for (String other : others) {
            double score = RendezvousAssignment.score(other, source);
            if (score > own || score == own && other.compareTo(self) < 0) {
                return false;
            }
        }
        return true;
    }

    private static int followers(int places) {
        return Math.max(1, places - PLACES_LEFT);
    }
}
