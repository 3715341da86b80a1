package burlarch.coordination.register;

/**
 * The messages between proposers and acceptors. A message may be lost, duplicated or reordered.
 *
 * <p>Each request has a {@code callId}, unique within its proposal, which the response echoes. On the wire the
 * components have the names of earlier releases; the transport maps them.
 */
public sealed interface RegisterMessage {
    /**
     * Phase one: asks an acceptor to reject lower proposal numbers from now on, and to report what it accepted last.
     *
     * @param known proposal number of the newest value that the proposer holds; null when it holds none. The acceptor
     *     reports values up to that number by their number alone
     */
    record PrepareRequest(long callId, ProposalNumber proposalNumber, ProposalNumber known)
            implements RegisterMessage {}

    /**
     * Response to {@link PrepareRequest}; a granted one is a promise in the Paxos literature.
     *
     * @param storageId identity of the acceptor's disk
     * @param granted false when the acceptor had granted a higher proposal number before
     * @param prepared the highest proposal number that the acceptor has granted
     * @param accepted proposal number of {@code value}; {@link ProposalNumber#ZERO} when nothing was accepted yet or
     *     the request was rejected
     * @param value the value that the acceptor accepted last; null when {@code accepted} is
     *     {@link ProposalNumber#ZERO}, or not above {@link PrepareRequest#known}
     */
    record PrepareResponse(
            long callId,
            String storageId,
            boolean granted,
            ProposalNumber prepared,
            ProposalNumber accepted,
            RegisterValue value)
            implements RegisterMessage {}

    /** Phase two: asks an acceptor to accept a value under a proposal number. */
    record AcceptRequest(long callId, ProposalNumber proposalNumber, RegisterValue value) implements RegisterMessage {}

    /**
     * Response to {@link AcceptRequest}.
     *
     * @param storageId identity of the acceptor's disk
     * @param granted false when the acceptor had granted a higher proposal number before
     * @param prepared the highest proposal number that the acceptor has granted
     */
    record AcceptResponse(long callId, String storageId, boolean granted, ProposalNumber prepared)
            implements RegisterMessage {}
}
