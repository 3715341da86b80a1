package burlarch.coordination.register.proposal;

import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.acceptorset.AcceptorMember;

/** An action that a proposal requests from its driver. The driver performs the outputs in order. */
public sealed interface ProposalOutput {
    /** Send a request to an acceptor. It may be lost. */
    record Send(AcceptorMember member, RegisterMessage message) implements ProposalOutput {}

    /** Call {@link Proposal#onTimer} at this time of the driver's clock, or later. */
    record SetTimer(long atNanos) implements ProposalOutput {}

    /** The proposal has ended. Emitted exactly once, as the last output. */
    record Finished(ProposalResult result) implements ProposalOutput {}
}
