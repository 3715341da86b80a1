package burlarch.coordination.register;

/**
 * The durable state of an acceptor.
 *
 * @param prepared the highest granted proposal number; requests with a lower one are rejected
 * @param accepted proposal number of {@code value}; {@link ProposalNumber#ZERO} when nothing was accepted yet
 * @param value the last accepted value; null when nothing was accepted yet
 */
public record AcceptorState(ProposalNumber prepared, ProposalNumber accepted, RegisterValue value) {
    /** The state of an acceptor that has granted no request yet. */
    public static final AcceptorState EMPTY = new AcceptorState(ProposalNumber.ZERO, ProposalNumber.ZERO, null);
}
