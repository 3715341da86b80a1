package burlarch.coordination.ownership;

import burlarch.coordination.register.acceptorset.AcceptorSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tracks whether this process is in contact with a quorum of the register's acceptors. It is while it has
 * received messages from enough of them within a given time.
 *
 * <p>The result is a hint: without contact, what needs a quorum cannot be served now, and that something was
 * not heard here means nothing. Safety rests on the register and on leases, never on this class.
 *
 * <p>Times are nanoseconds of a monotonic clock that goes on while the process is frozen. After a freeze there
 * is therefore no contact until new messages have come. Not safe for use by several threads.
 */
public final class QuorumContactTracker {
    /** Acceptors beyond this number are forgotten; the one whose last message is oldest first. */
    static final int MAX_ACCEPTORS = 2 * AcceptorSet.MAX_MEMBERS;

    private final String ownStorageId;
    private final long contactNanos;

    /** When each acceptor's last message came, the newest at the end. */
    private final Map<String, Long> lastHeardNanos = new LinkedHashMap<>();

    /**
     * Creates a tracker that is in contact with this process's own acceptor alone.
     *
     * @param ownStorageId storage identity of this process's own acceptor, which it always reaches
     * @param contactNanos for how long an acceptor counts after its last message
     */
    public QuorumContactTracker(String ownStorageId, long contactNanos) {
        this.ownStorageId = ownStorageId;
        this.contactNanos = contactNanos;
    }

    /** Notes a message of the process whose acceptor has this storage identity. */
    public void onHeardFrom(String storageId, long nowNanos) {
        lastHeardNanos.remove(storageId);
        lastHeardNanos.put(storageId, nowNanos);
        if (lastHeardNanos.size() > MAX_ACCEPTORS) {
            lastHeardNanos.remove(lastHeardNanos.keySet().iterator().next());
        }
    }

    /** Notes that a connection with that process is down. What came over it last may have been old by then. */
    public void onConnectionLost(String storageId) {
        lastHeardNanos.remove(storageId);
    }

    /** Whether a quorum of these acceptors is in contact now. */
    public boolean hasQuorum(AcceptorSet acceptors, long nowNanos) {
        Set<String> inContact = new HashSet<>();
        inContact.add(ownStorageId);
        lastHeardNanos.forEach((storageId, heardNanos) -> {
            if (nowNanos - heardNanos < contactNanos) {
                inContact.add(storageId);
            }
        });
        return acceptors.hasQuorum(inContact);
    }
}
