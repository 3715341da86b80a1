package burlarch.coordination.register;

/**
 * The number of one attempt of a proposal (a ballot number in the Paxos literature). Acceptors reject requests whose
 * number is below the highest that they have granted.
 *
 * <p>Numbers are ordered by term, then by proposer. Invariant UniqueNumber: a number belongs to one attempt of one
 * proposal, because no two proposals have the same name and a proposal raises the term with each attempt.
 *
 * @param term rises with each attempt of a proposer
 * @param proposer name of the proposal that uses the number
 */
public record ProposalNumber(long term, String proposer) implements Comparable<ProposalNumber> {
    /** Lower than every number that is proposed; means "no proposal". */
    public static final ProposalNumber ZERO = new ProposalNumber(0, "");

    @Override
    public int compareTo(ProposalNumber other) {
        int byTerm = Long.compare(term, other.term);
        return byTerm != 0 ? byTerm : proposer.compareTo(other.proposer);
    }
}
