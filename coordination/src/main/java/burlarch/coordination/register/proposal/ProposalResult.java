package burlarch.coordination.register.proposal;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterValue;

/** How a proposal ended. */
public sealed interface ProposalResult {
    /**
     * {@code value} is chosen at {@code proposalNumber}.
     *
     * @param proposalNumber {@link ProposalNumber#ZERO} where the register is still empty
     * @param value the register's value, null where it is still empty
     * @param decision the one that led here
     */
    record Chosen(ProposalNumber proposalNumber, RegisterValue value, ChangeDecision decision)
            implements ProposalResult {}

    /** The deadline passed after the change was sent out: it may be chosen, now or later, or never. */
    record Unknown() implements ProposalResult {}

    /** The deadline passed before the change was sent to any acceptor: it is not chosen and never will be. */
    record NotStarted() implements ProposalResult {}
}
