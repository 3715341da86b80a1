package burlarch.coordination.register;

/**
 * The number of one proposal. Unique, as the proposer's name breaks ties.
 *
 * @param round rises with every proposal of a proposer
 * @param proposer name of the process that proposes
 */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {
    /** Below every ballot that is proposed. */
    public static final Ballot ZERO = new Ballot(0, "");

    @Override
    public int compareTo(Ballot other) {
        int byRound = Long.compare(round, other.round);
        return byRound != 0 ? byRound : proposer.compareTo(other.proposer);
    }
}
