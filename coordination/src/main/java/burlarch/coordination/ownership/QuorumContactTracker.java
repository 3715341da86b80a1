package burlarch.coordination.ownership;

import burlarch.coordination.register.acceptorset.AcceptorSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tracks whether this process is in contact with a quorum of the register's acceptors: whether it has received
 * messages from enough of them within a given time.
 *
 * <p>The result is a hint: without contact, this process cannot serve what needs a quorum, and must not conclude
 * anything from messages that it did not receive. Safety depends on the register and on leases, never on this class.
 *
 * <p>Times are nanoseconds of a monotonic clock that advances while the process is frozen. After a freeze there is
 * therefore no contact until new messages arrive. Not thread-safe.
 */
public final class QuorumContactTracker {
    /** Largest number of remembered acceptors; beyond it, the one whose last message is oldest is forgotten first. */
    static final int MAX_ACCEPTORS = 2 * AcceptorSet.MAX_MEMBERS;

    private final String ownStorageId;
    private final long contactTimeoutNanos;

    /** When each acceptor's last message was received, by storage identity, the newest at the end. */
    private final Map<String, Long> lastHeardNanos = new LinkedHashMap<>();

    /**
     * Creates a tracker that is in contact with this process's own acceptor alone.
     *
     * @param ownStorageId storage identity of this process's own acceptor, which it can always reach
     * @param contactTimeoutNanos how long an acceptor counts as in contact after its last message
     */
    public QuorumContactTracker(String ownStorageId, long contactTimeoutNanos) {
        this.ownStorageId = ownStorageId;
        this.contactTimeoutNanos = contactTimeoutNanos;
    }

    /** Records a message from the process whose acceptor has this storage identity. */
    public void onHeardFrom(String storageId, long nowNanos) {
        lastHeardNanos.remove(storageId);
        lastHeardNanos.put(storageId, nowNanos);
        if (lastHeardNanos.size() > MAX_ACCEPTORS) {
            lastHeardNanos.remove(lastHeardNanos.keySet().iterator().next());
        }
    }

    /** Records that the connection with that process is lost. Its last messages may have been old when they arrived. */
    public void onConnectionLost(String storageId) {
        lastHeardNanos.remove(storageId);
    }

    /** Returns whether a quorum of these acceptors is in contact now. */
    public boolean hasQuorum(AcceptorSet acceptors, long nowNanos) {
        Set<String> inContact = new HashSet<>();
        inContact.add(ownStorageId);
        lastHeardNanos.forEach((storageId, heardNanos) -> {
            if (nowNanos - heardNanos < contactTimeoutNanos) {
                inContact.add(storageId);
            }
        });
        return acceptors.hasQuorum(inContact);
    }
}
