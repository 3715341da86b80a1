/**
 * The replicated register: one value, agreed on by a quorum of acceptors (CASPaxos).
 *
 * <p>This package holds the values of the protocol ({@link burlarch.coordination.register.ProposalNumber},
 * {@link burlarch.coordination.register.RegisterValue}, {@link burlarch.coordination.register.RegisterMessage}) and
 * the acceptor. The proposer is in {@code register.proposal}, the set of acceptors in {@code register.acceptorset}.
 *
 * <p>Thread: no class here starts a thread, reads a clock or does I/O. Times are passed as arguments; messages and
 * states to persist are returned as values. An instance belongs to one caller, which calls it from one thread at a
 * time; in a controller, the event loop. Records are immutable.
 *
 * <p>State: an {@link burlarch.coordination.register.Acceptor} owns its
 * {@link burlarch.coordination.register.AcceptorState}. The caller persists that state and notifies the acceptor when
 * it is durable.
 */
package burlarch.coordination.register;
