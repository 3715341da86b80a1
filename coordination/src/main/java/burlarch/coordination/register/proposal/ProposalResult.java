package burlarch.coordination.register.proposal;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterValue;

/** The result of a proposal. */
public sealed interface ProposalResult {
    /**
     * {@code value} is chosen.
     *
     * @param proposalNumber the number under which it is chosen; {@link ProposalNumber#ZERO} when the register
     *     is still empty
     * @param value the register's value; null when the register is still empty
     * @param decision the decision of the change that led to this result
     */
    record Chosen(ProposalNumber proposalNumber, RegisterValue value, ChangeDecision decision)
            implements ProposalResult {}

    /**
     * The deadline passed after the change was sent to acceptors. The change may be chosen already, be chosen later,
     * or never be chosen. The caller may propose the same change again if the payload shows whether it is applied.
     */
    record Unknown() implements ProposalResult {}

    /**
     * The deadline passed before the change was sent to any acceptor. It is not chosen and never will be; the
     * caller may propose it again.
     */
    record NotStarted() implements ProposalResult {}
}
