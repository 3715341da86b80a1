package burlarch.controller.register;

import burlarch.coordination.ownership.QuorumContactTracker;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import burlarch.transport.EventLoop;
import burlarch.transport.PeerConnection;
import org.tinylog.Logger;

/** Whether this controller stands with a quorum, by what it hears of the others. Lives on the loop. */
public final class QuorumContactMonitor {
    /** Four statuses of a peer. */
    private static final long CONTACT_TIMEOUT_NANOS = 1_200_000_000;

    private final EventLoop loop;
    private final CommittedState committed;
    private final QuorumContactTracker contact;
    private boolean inContact;
    private long changedAtNanos;

    /** @param ownStorage storage identity of this process's acceptor */
    public QuorumContactMonitor(EventLoop loop, CommittedState decided, String ownStorage) {
        this.loop = loop;
        this.committed = decided;
        contact = new QuorumContactTracker(ownStorage, CONTACT_TIMEOUT_NANOS);
        changedAtNanos = loop.nanoTime();
    }

    /** Another controller was heard. */
    public void onHeard(PeerConnection controller) {
        contact.onHeardFrom(controller.peerHello().storage(), loop.nanoTime());
    }

    /** A connection to or from another controller is gone. */
    public void onDown(PeerConnection controller) {
        contact.onConnectionLost(controller.peerHello().storage());
    }

    /** Whether a quorum of the acceptors that are known here is in contact now. */
    public boolean hasContact() {
        boolean holds = contact.hasQuorum(AcceptorSet.of(committed.members()), loop.nanoTime());
        if (holds != inContact) {
            inContact = holds;
            changedAtNanos = loop.nanoTime();
            Logger.info(holds ? "in contact with a quorum" : "out of contact with a quorum");
        }
        return holds;
    }

    /** Whether there is contact and has been for that time, as far as {@link #hasContact} was asked in it. */
    public boolean hasContactFor(long nanos) {
        return hasContact() && loop.nanoTime() - changedAtNanos >= nanos;
    }
}
