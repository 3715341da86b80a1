package burlarch.coordination.register.proposal;

import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.acceptorset.AcceptorMember;

/** What a proposal asks its driver to do. */
public sealed interface ProposalOutput {
    /** Send a message; its loss is allowed. */
    record Send(AcceptorMember member, RegisterMessage message) implements ProposalOutput {}

    /** Call {@link Proposal#onTimer} at this time, in nanoseconds of the driver's clock, or later. */
    record SetTimer(long atNanos) implements ProposalOutput {}

    /** The proposal has ended; comes once, as the last output. */
    record Finished(ProposalResult result) implements ProposalOutput {}
}
