package burlarch.coordination.register;

/** What a proposal asks its driver to do. */
public sealed interface Output {
    /** Send a message; its loss is allowed. */
    record Send(Member member, RegisterMessage message) implements Output {}

    /** Call {@link Proposal#onTimer} at this time, in nanoseconds of the driver's clock, or later. */
    record Timer(long at) implements Output {}

    /** The proposal has ended; comes once, as the last output. */
    record Done(ProposalResult result) implements Output {}
}
