package burlarch.coordination.register;

/** What proposers and acceptors say to one another. */
public sealed interface RegisterMessage {
    /** Phase one. {@code callId} pairs replies with requests and is unique within one proposer. */
    record PrepareRequest(long callId, ProposalNumber proposalNumber) implements RegisterMessage {}

    /**
     * Answer to {@link PrepareRequest}.
     *
     * @param storageId identity of the acceptor's disk
     * @param granted false where a higher ballot was promised; {@code prepared} tells which
     * @param accepted ballot of {@code value}; {@link ProposalNumber#ZERO} and null where nothing was accepted yet
     */
    record PrepareResponse(
            long callId,
            String storageId,
            boolean granted,
            ProposalNumber prepared,
            ProposalNumber accepted,
            RegisterValue value)
            implements RegisterMessage {}

    /** Phase two. */
    record AcceptRequest(long callId, ProposalNumber proposalNumber, RegisterValue value) implements RegisterMessage {}

    /** Answer to {@link AcceptRequest}. */
    record AcceptResponse(long callId, String storageId, boolean granted, ProposalNumber prepared)
            implements RegisterMessage {}
}
