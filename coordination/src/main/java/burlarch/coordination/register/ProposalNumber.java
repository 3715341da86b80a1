package burlarch.coordination.register;

/**
 * The number of one proposal. Unique, as the proposer's name breaks ties.
 *
 * @param term rises with every proposal of a proposer
 * @param proposer name of the process that proposes
 */
public record ProposalNumber(long term, String proposer) implements Comparable<ProposalNumber> {
    /** Below every ballot that is proposed. */
    public static final ProposalNumber ZERO = new ProposalNumber(0, "");

    @Override
    public int compareTo(ProposalNumber other) {
        int byRound = Long.compare(term, other.term);
        return byRound != 0 ? byRound : proposer.compareTo(other.proposer);
    }
}
