package burlarch.coordination.register;

/** What proposers and acceptors say to one another. */
public sealed interface RegisterMessage {
    /** Phase one. {@code call} pairs replies with requests and is unique within one proposer. */
    record Prepare(long call, Ballot ballot) implements RegisterMessage {}

    /**
     * Answer to {@link Prepare}.
     *
     * @param storage identity of the acceptor's disk
     * @param granted false where a higher ballot was promised; {@code promised} tells which
     * @param accepted ballot of {@code value}; {@link Ballot#ZERO} and null where nothing was accepted yet
     */
    record Promise(long call, String storage, boolean granted, Ballot promised, Ballot accepted, RegisterValue value)
            implements RegisterMessage {}

    /** Phase two. */
    record Accept(long call, Ballot ballot, RegisterValue value) implements RegisterMessage {}

    /** Answer to {@link Accept}. */
    record Accepted(long call, String storage, boolean granted, Ballot promised) implements RegisterMessage {}
}
