package burlarch.controller.register;

import burlarch.controller.register.CommittedState.Origin;
import burlarch.coordination.register.ProposalNumber;
import burlarch.transport.EventLoop;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeMessage.Committed;
import burlarch.transport.PeerConnection;

/**
 * Learner of the register: takes chosen values from other controllers into {@link CommittedState}, and sends them the
 * newest value on request. Runs on the event loop and has no state of its own.
 *
 * <p>A proposer reports only the proposal number of a chosen value, because most controllers have accepted the value
 * themselves. A controller whose own acceptor has not finished that write waits a short time and fetches the value if
 * it is still missing.
 */
final class CommitLearner {
    /** Delay before a value is fetched, because the local acceptor may still be writing it. */
    private static final long LOCAL_ACCEPT_DELAY_NANOS = 50_000_000;

    private final EventLoop loop;
    private final CommittedState committed;
    private final LocalAcceptor acceptor;

    CommitLearner(EventLoop loop, CommittedState committed, LocalAcceptor acceptor) {
        this.loop = loop;
        this.committed = committed;
        this.acceptor = acceptor;
    }

    /** Handles another controller's report of a chosen value, or of its proposal number alone. */
    void onCommitted(PeerConnection from, Committed message) {
        ProposalNumber chosen = message.proposalNumber();
        if (message.value() != null) {
            committed.advance(chosen, message.value(), Origin.OTHER_CONTROLLER);
        } else if (!learnFromAcceptor(chosen)) {
            loop.schedule(LOCAL_ACCEPT_DELAY_NANOS, () -> learnOrFetch(from, chosen));
        }
    }

    /** Fetches the committed value if another controller's status names a newer proposal number. */
    void onPeerStatus(PeerConnection from, ProposalNumber peerNumber) {
        if (peerNumber.compareTo(committed.proposalNumber()) > 0) {
            from.send(new NodeMessage.FetchCommitted());
        }
    }

    /** Sends another controller the newest committed value; sends nothing while none is known. */
    void onFetch(PeerConnection from) {
        committed.value().ifPresent(value -> from.send(new Committed(committed.proposalNumber(), value)));
    }

    private void learnOrFetch(PeerConnection from, ProposalNumber chosen) {
        if (!learnFromAcceptor(chosen)) {
            from.send(new NodeMessage.FetchCommitted());
        }
    }

    /** Takes the chosen value from the local acceptor if it has accepted it. Returns whether the value is now known. */
    private boolean learnFromAcceptor(ProposalNumber chosen) {
        acceptor.acceptedAt(chosen).ifPresent(value -> committed.advance(chosen, value, Origin.OTHER_CONTROLLER));
        return chosen.compareTo(committed.proposalNumber()) <= 0;
    }
}
