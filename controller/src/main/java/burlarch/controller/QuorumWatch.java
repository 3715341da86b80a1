package burlarch.controller;

import burlarch.coordination.ownership.QuorumContact;
import burlarch.coordination.register.AcceptorSet;
import burlarch.transport.EventLoop;
import burlarch.transport.PeerConnection;
import org.tinylog.Logger;

/** Whether this controller stands with a quorum, by what it hears of the others. Lives on the loop. */
final class QuorumWatch {
    /** Four statuses of a peer. */
    private static final long CONTACT_NANOS = 1_200_000_000;

    private final EventLoop loop;
    private final DecidedState decided;
    private final QuorumContact contact;
    private boolean held;
    private long changedNanos;

    /** @param ownStorage storage identity of this process's acceptor */
    QuorumWatch(EventLoop loop, DecidedState decided, String ownStorage) {
        this.loop = loop;
        this.decided = decided;
        contact = new QuorumContact(ownStorage, CONTACT_NANOS);
        changedNanos = loop.nanoTime();
    }

    /** Another controller was heard. */
    void onHeard(PeerConnection controller) {
        contact.onHeard(controller.peerHello().storage(), loop.nanoTime());
    }

    /** A connection to or from another controller is gone. */
    void onDown(PeerConnection controller) {
        contact.onLost(controller.peerHello().storage());
    }

    /** Whether a quorum of the acceptors that are known here is in contact now. */
    boolean holds() {
        boolean holds = contact.holds(AcceptorSet.of(decided.members()), loop.nanoTime());
        if (holds != held) {
            held = holds;
            changedNanos = loop.nanoTime();
            Logger.info(holds ? "in contact with a quorum" : "out of contact with a quorum");
        }
        return holds;
    }

    /** Whether there is contact and has been for that time, as far as {@link #holds} was asked in it. */
    boolean heldFor(long nanos) {
        return holds() && loop.nanoTime() - changedNanos >= nanos;
    }
}
