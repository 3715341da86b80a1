/**
 * The proposer's side of the register: a {@link burlarch.coordination.register.proposal.Proposal} brings one
 * change through both phases of the protocol. Its doc comment has the invariants of the register and the proof
 * of SingleChain, on which the safety of the configuration rests.
 *
 * <ul>
 *   <li>{@link burlarch.coordination.register.proposal.ProposalState}: the states and their transitions.
 *   <li>{@code MessageExchange}: one request, its recipients, and when it is sent again.
 *   <li>{@code PrepareTally}, {@code AcceptTally}: the responses of one attempt.
 *   <li>{@code WritePlanner}, {@code WritePlan}: what an attempt does with the value that it has read.
 * </ul>
 *
 * <p>Thread: no thread, no clock, no I/O. A proposal belongs to the driver that created it, which calls it from
 * one thread at a time (in a controller, on the event loop) and carries out the outputs in their order.
 * Randomness comes from the driver too, so a simulation replays a proposal by its seed.
 *
 * <p>State: a proposal is lost with its process. Nothing needs to be recovered: the next proposal completes or
 * bars what was left unfinished.
 */
package burlarch.coordination.register.proposal;
