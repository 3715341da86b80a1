package burlarch.coordination.register;

/**
 * All that an acceptor must not forget.
 *
 * @param promised no ballot below this one is taken any more
 * @param accepted ballot of {@code value}; {@link Ballot#ZERO} where nothing was accepted yet
 * @param value the value accepted last, or null
 */
public record AcceptorState(Ballot promised, Ballot accepted, RegisterValue value) {
    /** State of an acceptor that has never heard of anyone. */
    public static final AcceptorState EMPTY = new AcceptorState(Ballot.ZERO, Ballot.ZERO, null);
}
