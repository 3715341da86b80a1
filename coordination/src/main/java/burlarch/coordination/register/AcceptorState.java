package burlarch.coordination.register;

/**
 * All that an acceptor must not forget.
 *
 * @param prepared no ballot below this one is taken any more
 * @param accepted ballot of {@code value}; {@link ProposalNumber#ZERO} where nothing was accepted yet
 * @param value the value accepted last, or null
 */
public record AcceptorState(ProposalNumber prepared, ProposalNumber accepted, RegisterValue value) {
    /** State of an acceptor that has never heard of anyone. */
    public static final AcceptorState EMPTY = new AcceptorState(ProposalNumber.ZERO, ProposalNumber.ZERO, null);
}
