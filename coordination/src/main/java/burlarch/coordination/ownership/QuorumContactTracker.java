package burlarch.coordination.ownership;

import burlarch.coordination.register.acceptorset.AcceptorSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Whether this process stands with a quorum of the register's acceptors: it does while it heard enough of
 * them within a named time. Times are nanoseconds of a steady clock that goes on while the process stands
 * still, so that after a standstill there is no contact until they were heard again.
 *
 * <p>This is a hint that what a quorum must stand behind can't be served just now, and that what wasn't heard
 * here says nothing. Safety rests on the register and on leases, never on this. Not safe for use by threads
 * at the same time.
 */
public final class QuorumContactTracker {
    /** Acceptors beyond this number are forgotten, those not heard of for longest first. */
    static final int MAX_ACCEPTORS = 2 * AcceptorSet.MAX_MEMBERS;

    private final String ownStorage;
    private final long lastsNanos;
    /** When each acceptor was heard last, the newest at the end. */
    private final Map<String, Long> heardAt = new LinkedHashMap<>();

    /**
     * Begins without contact but with the own acceptor.
     *
     * @param ownStorage storage identity of this process's own acceptor, which it always reaches
     * @param lastsNanos how long an acceptor counts after it was heard
     */
    public QuorumContactTracker(String ownStorage, long lastsNanos) {
        this.ownStorage = ownStorage;
        this.lastsNanos = lastsNanos;
    }

    /** A message of the process came that has this storage identity. */
    public void onHeardFrom(String storage, long nowNanos) {
        heardAt.remove(storage);
        heardAt.put(storage, nowNanos);
        if (heardAt.size() > MAX_ACCEPTORS) {
            heardAt.remove(heardAt.keySet().iterator().next());
        }
    }

    /** A connection with that process is down: what was heard over it may be old. */
    public void onConnectionLost(String storage) {
        heardAt.remove(storage);
    }

    /** Whether a quorum of these acceptors is in contact now. */
    public boolean hasQuorum(AcceptorSet acceptors, long nowNanos) {
        Set<String> inContact = new HashSet<>();
        inContact.add(ownStorage);
        heardAt.forEach((storage, heard) -> {
            if (nowNanos - heard < lastsNanos) {
                inContact.add(storage);
            }
        });
        return acceptors.hasQuorum(inContact);
    }
}
