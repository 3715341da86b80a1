package burlarch.controller.register;

import burlarch.coordination.ownership.QuorumContactTracker;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import burlarch.transport.EventLoop;
import burlarch.transport.PeerConnection;
import org.tinylog.Logger;

/**
 * Says whether this controller is in contact with a quorum of the acceptors, by what it hears from the other
 * controllers. Runs on the event loop; in memory only, and starts without contact.
 *
 * <p>Contact is a hint: it decides what isn't worth trying, never what is safe. States and transitions:
 * OUT_OF_CONTACT to IN_CONTACT when a quorum was heard from within the timeout, and back when it was not. The state is
 * updated whenever it is asked for.
 */
public final class QuorumContactMonitor {
    /** Four status messages of a peer. */
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

    /** Another controller was heard from. */
    public void onHeard(PeerConnection controller) {
        tracker.onHeardFrom(controller.peerHello().storage(), loop.nanoTime());
    }

    /** A connection to or from another controller is lost. */
    public void onDisconnected(PeerConnection controller) {
        tracker.onConnectionLost(controller.peerHello().storage());
    }

    /** Whether a quorum of the known acceptors is in contact now. */
    public boolean hasContact() {
        boolean quorum = tracker.hasQuorum(AcceptorSet.of(committed.members()), loop.nanoTime());
        become(quorum ? State.IN_CONTACT : State.OUT_OF_CONTACT);
        return quorum;
    }

    /** Whether contact has lasted for that time, as far as {@link #hasContact} was asked during it. */
    public boolean hasContactFor(long nanos) {
        return hasContact() && loop.nanoTime() - changedAtNanos >= nanos;
    }

    private void become(State next) {
        if (next != state) {
            state = next;
            changedAtNanos = loop.nanoTime();
            Logger.info("quorum contact changed: state={}", next);
        }
    }
}
