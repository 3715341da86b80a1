package burlarch.coordination.register;

/**
 * One vote of the register, bound to one disk.
 *
 * <p>It only computes: the driver makes {@link AcceptorTransition#state()} durable, then calls {@link #onPersisted} and
 * sends the reply. Where the disk refuses, the driver drops the step, and the acceptor is as it was. Steps
 * are taken one at a time: the next message is shown only once the step before was adopted or dropped. A
 * ballot belongs to one proposal, so an equal one is a repeated message and is granted again.
 */
public final class Acceptor {
    private final String storage;
    private AcceptorState state;

    /**
     * Takes up the work of a disk.
     *
     * @param storage identity of the disk; a wiped disk must not come back under its old one
     * @param state what that disk holds
     */
    public Acceptor(String storage, AcceptorState state) {
        this.storage = storage;
        this.state = state;
    }

    public String storageId() {
        return storage;
    }

    public AcceptorState state() {
        return state;
    }

    /** Phase one: promises to take no lower ballot, and tells what was accepted last. */
    public AcceptorTransition onPrepare(RegisterMessage.PrepareRequest prepare) {
        ProposalNumber ballot = prepare.proposalNumber();
        if (ballot.compareTo(state.prepared()) < 0) {
            return unchanged(new RegisterMessage.PrepareResponse(
                    prepare.callId(), storage, false, state.prepared(), ProposalNumber.ZERO, null));
        }
        RegisterMessage reply = new RegisterMessage.PrepareResponse(
                prepare.callId(), storage, true, ballot, state.accepted(), state.value());
        if (ballot.equals(state.prepared())) {
            return unchanged(reply);
        }
        return new AcceptorTransition(new AcceptorState(ballot, state.accepted(), state.value()), true, reply);
    }

    /** Phase two: takes the value unless a higher ballot was promised. */
    public AcceptorTransition onAccept(RegisterMessage.AcceptRequest accept) {
        ProposalNumber ballot = accept.proposalNumber();
        if (ballot.compareTo(state.prepared()) < 0) {
            return unchanged(new RegisterMessage.AcceptResponse(accept.callId(), storage, false, state.prepared()));
        }
        RegisterMessage reply = new RegisterMessage.AcceptResponse(accept.callId(), storage, true, ballot);
        if (ballot.equals(state.accepted())) {
            return unchanged(reply);
        }
        return new AcceptorTransition(new AcceptorState(ballot, ballot, accept.value()), true, reply);
    }

    /** To be called once the state of a step is durable, before its reply is sent. */
    public void onPersisted(AcceptorState durable) {
        state = durable;
    }

    private AcceptorTransition unchanged(RegisterMessage reply) {
        return new AcceptorTransition(state, false, reply);
    }
}
