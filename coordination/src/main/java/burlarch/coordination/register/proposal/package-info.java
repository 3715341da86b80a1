/**
 * The proposer of the register: a {@link burlarch.coordination.register.proposal.Proposal} drives one change through
 * both phases of the protocol. Its doc comment states the invariants of the register and the proof of SingleChain, on
 * which the safety of the configuration depends.
 *
 * <ul>
 *   <li>{@link burlarch.coordination.register.proposal.ProposalState}: the states and their transitions.
 *   <li>{@code MessageExchange}: one request, its recipients, and when it is resent.
 *   <li>{@code PrepareTally}, {@code AcceptTally}: the responses of one attempt.
 *   <li>{@code WritePlanner}, {@code WritePlan}: what an attempt writes on top of the value that it has read.
 * </ul>
 *
 * <p>Thread: no class here starts a thread, reads a clock or does I/O. A proposal belongs to the driver that created
 * it, which calls it from one thread at a time (in a controller, on the event loop) and performs the outputs in
 * order. The driver also passes in the source of randomness, so a simulation can replay a proposal from its seed.
 *
 * <p>State: a proposal is lost with its process. Nothing needs to be recovered: the next proposal completes an
 * unfinished one or prevents it from being chosen.
 */
package burlarch.coordination.register.proposal;
