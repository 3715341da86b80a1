package burlarch.coordination.register;

import burlarch.coordination.register.RegisterMessage.AcceptRequest;
import burlarch.coordination.register.RegisterMessage.AcceptResponse;
import burlarch.coordination.register.RegisterMessage.PrepareRequest;
import burlarch.coordination.register.RegisterMessage.PrepareResponse;

/**
 * An acceptor of the replicated register, bound to one disk.
 *
 * <p>The acceptor does no I/O. For each request its caller makes {@link AcceptorTransition#state()} durable, then
 * calls {@link #onPersisted} and sends the response. If the disk write fails, the caller drops the transition and the
 * acceptor keeps its state. The caller handles requests one at a time: it passes the next request only after the
 * previous transition was persisted or dropped.
 *
 * <p>Invariant DurableBeforeResponse: a response reports only durable state, so a proposer may count it even after
 * this process has restarted.
 *
 * <p>A request with a proposal number that was granted before is a duplicate of a message of the same proposal
 * (UniqueNumber); the acceptor grants it again without a write.
 *
 * <p>Not thread-safe.
 */
public final class Acceptor {
    private final String storageId;
    private AcceptorState state;

    /**
     * Creates the acceptor of a disk.
     *
     * @param storageId identity of the disk; a disk that comes back empty must have a new one
     * @param state the state that the disk holds
     */
    public Acceptor(String storageId, AcceptorState state) {
        this.storageId = storageId;
        this.state = state;
    }

    /** Returns the identity of the acceptor's disk. */
    public String storageId() {
        return storageId;
    }

    /** Returns the last state that was made durable. */
    public AcceptorState state() {
        return state;
    }

    /** Phase one: grants the proposal number unless a higher one was granted before, and reports the accepted value. */
    public AcceptorTransition onPrepare(PrepareRequest request) {
        ProposalNumber number = request.proposalNumber();
        if (number.compareTo(state.prepared()) < 0) {
            return AcceptorTransition.unchanged(state, rejection(request));
        }
        RegisterMessage response = new PrepareResponse(
                request.callId(), storageId, true, number, state.accepted(), valueIfUnknownTo(request));
        if (number.equals(state.prepared())) {
            return AcceptorTransition.unchanged(state, response);
        }
        return AcceptorTransition.changedTo(new AcceptorState(number, state.accepted(), state.value()), response);
    }

    /** Phase two: accepts the value unless a higher proposal number was granted before. */
    public AcceptorTransition onAccept(AcceptRequest request) {
        ProposalNumber number = request.proposalNumber();
        if (number.compareTo(state.prepared()) < 0) {
            return AcceptorTransition.unchanged(
                    state, new AcceptResponse(request.callId(), storageId, false, state.prepared()));
        }
        RegisterMessage response = new AcceptResponse(request.callId(), storageId, true, number);
        if (number.equals(state.accepted())) {
            return AcceptorTransition.unchanged(state, response);
        }
        return AcceptorTransition.changedTo(new AcceptorState(number, number, request.value()), response);
    }

    /** Adopts the state of a transition. Call it once that state is durable, before the response is sent. */
    public void onPersisted(AcceptorState durable) {
        state = durable;
    }

    /**
     * Returns the accepted value, or null when the proposer holds that value or a newer one: it then needs only the
     * proposal number, which shows that nothing newer was accepted here.
     */
    private RegisterValue valueIfUnknownTo(PrepareRequest request) {
        boolean isKnown = request.known() != null && state.accepted().compareTo(request.known()) <= 0;
        return isKnown ? null : state.value();
    }

    private RegisterMessage rejection(PrepareRequest request) {
        return new PrepareResponse(request.callId(), storageId, false, state.prepared(), ProposalNumber.ZERO, null);
    }
}
