package burlarch.controller.register;

import burlarch.controller.register.CommittedState.Origin;
import burlarch.coordination.register.ProposalNumber;
import burlarch.transport.EventLoop;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeMessage.Committed;
import burlarch.transport.PeerConnection;

/**
 * Learns from other controllers which values are chosen, and tells them. Runs on the event loop; the state is in
 * {@link CommittedState}.
 *
 * <p>A proposer reports only the proposal number of a chosen value, because most controllers have accepted the value
 * themselves. A controller that has not yet finished its own write waits a short time, and fetches the value if it is
 * still missing then.
 */
final class CommitLearner {
    /** The local acceptor may still be writing the value: it is fetched only after this time. */
    private static final long LOCAL_ACCEPT_DELAY_NANOS = 50_000_000;

    private final EventLoop loop;
    private final CommittedState committed;
    private final LocalAcceptor acceptor;

    CommitLearner(EventLoop loop, CommittedState committed, LocalAcceptor acceptor) {
        this.loop = loop;
        this.committed = committed;
        this.acceptor = acceptor;
    }

    /** Another controller reports a chosen value, or only its proposal number. */
    void onCommitted(PeerConnection from, Committed message) {
        ProposalNumber chosen = message.proposalNumber();
        if (message.value() != null) {
            committed.advance(chosen, message.value(), Origin.OTHER_CONTROLLER);
        } else if (!learnFromAcceptor(chosen)) {
            loop.schedule(LOCAL_ACCEPT_DELAY_NANOS, () -> learnOrFetch(from, chosen));
        }
    }

    /** Another controller's status names the newest proposal number that it knows to be chosen. */
    void onPeerStatus(PeerConnection from, ProposalNumber peerNumber) {
        if (peerNumber.compareTo(committed.proposalNumber()) > 0) {
            from.send(new NodeMessage.FetchCommitted());
        }
    }

    /** Another controller asks for the newest committed value; it gets no response while none is known. */
    void onFetch(PeerConnection from) {
        committed.value().ifPresent(value -> from.send(new Committed(committed.proposalNumber(), value)));
    }

    private void learnOrFetch(PeerConnection from, ProposalNumber chosen) {
        if (!learnFromAcceptor(chosen)) {
            from.send(new NodeMessage.FetchCommitted());
        }
    }

    /** Takes the chosen value from the local acceptor; false if it is still missing. */
    private boolean learnFromAcceptor(ProposalNumber chosen) {
        acceptor.acceptedAt(chosen).ifPresent(value -> committed.advance(chosen, value, Origin.OTHER_CONTROLLER));
        return chosen.compareTo(committed.proposalNumber()) <= 0;
    }
}
