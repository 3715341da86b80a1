package burlarch.controller.register;

import burlarch.coordination.ownership.QuorumContactTracker;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import burlarch.transport.EventLoop;
import burlarch.transport.PeerConnection;
import org.tinylog.Logger;

/**
 * Failure detector for the quorum: determines from received messages whether this controller is in contact with a
 * quorum of the acceptors. Runs on the event loop. The state is in memory only and starts as OUT_OF_CONTACT.
 *
 * <p>The result is a hint that avoids calls which would probably fail; safety never depends on it. The state is
 * IN_CONTACT while a quorum was heard from within the timeout, and OUT_OF_CONTACT otherwise. It is updated on each
 * query.
 */
public final class QuorumContactMonitor {
    /** Four periods of the status message of a peer. */
    private static final long CONTACT_TIMEOUT_NANOS = 1_200_000_000;

    private enum State {
        OUT_OF_CONTACT,
        IN_CONTACT
    }

    private final EventLoop loop;
    private final CommittedState committed;
    private final QuorumContactTracker tracker;
    private State state = State.OUT_OF_CONTACT;
    private long changedAtNanos;

    /** @param ownStorage storage identity of this process's acceptor */
    public QuorumContactMonitor(EventLoop loop, CommittedState committed, String ownStorage) {
        this.loop = loop;
        this.committed = committed;
        tracker = new QuorumContactTracker(ownStorage, CONTACT_TIMEOUT_NANOS);
        changedAtNanos = loop.nanoTime();
    }

    /** Records that a message was received from another controller. */
    public void onHeard(PeerConnection controller) {
        tracker.onHeardFrom(controller.peerHello().storage(), loop.nanoTime());
    }

    /** Records the loss of a connection to or from another controller. */
    public void onDisconnected(PeerConnection controller) {
        tracker.onConnectionLost(controller.peerHello().storage());
    }

    /** Whether a quorum of the known acceptors is in contact now. */
    public boolean hasContact() {
        boolean hasQuorum = tracker.hasQuorum(AcceptorSet.of(committed.members()), loop.nanoTime());
        setState(hasQuorum ? State.IN_CONTACT : State.OUT_OF_CONTACT);
        return hasQuorum;
    }

    /**
     * Whether contact has lasted for the given time. Interruptions between calls of {@link #hasContact} are not
     * noticed.
     */
    public boolean hasContactFor(long nanos) {
        return hasContact() && loop.nanoTime() - changedAtNanos >= nanos;
    }

    private void setState(State next) {
        if (next != state) {
            state = next;
            changedAtNanos = loop.nanoTime();
            Logger.info("quorum contact changed: state={}", next);
        }
    }
}
