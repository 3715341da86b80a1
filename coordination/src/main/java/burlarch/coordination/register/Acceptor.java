package burlarch.coordination.register;

/**
 * One vote of the register, bound to one disk.
 *
 * <p>It only computes: the driver makes {@link AcceptorStep#state()} durable, then calls {@link #adopt} and
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

    public String storage() {
        return storage;
    }

    public AcceptorState state() {
        return state;
    }

    /** Phase one: promises to take no lower ballot, and tells what was accepted last. */
    public AcceptorStep onPrepare(RegisterMessage.Prepare prepare) {
        Ballot ballot = prepare.ballot();
        if (ballot.compareTo(state.promised()) < 0) {
            return unchanged(
                    new RegisterMessage.Promise(prepare.call(), storage, false, state.promised(), Ballot.ZERO, null));
        }
        RegisterMessage reply =
                new RegisterMessage.Promise(prepare.call(), storage, true, ballot, state.accepted(), state.value());
        if (ballot.equals(state.promised())) {
            return unchanged(reply);
        }
        return new AcceptorStep(new AcceptorState(ballot, state.accepted(), state.value()), true, reply);
    }

    /** Phase two: takes the value unless a higher ballot was promised. */
    public AcceptorStep onAccept(RegisterMessage.Accept accept) {
        Ballot ballot = accept.ballot();
        if (ballot.compareTo(state.promised()) < 0) {
            return unchanged(new RegisterMessage.Accepted(accept.call(), storage, false, state.promised()));
        }
        RegisterMessage reply = new RegisterMessage.Accepted(accept.call(), storage, true, ballot);
        if (ballot.equals(state.accepted())) {
            return unchanged(reply);
        }
        return new AcceptorStep(new AcceptorState(ballot, ballot, accept.value()), true, reply);
    }

    /** To be called once the state of a step is durable, before its reply is sent. */
    public void adopt(AcceptorState durable) {
        state = durable;
    }

    private AcceptorStep unchanged(RegisterMessage reply) {
        return new AcceptorStep(state, false, reply);
    }
}
