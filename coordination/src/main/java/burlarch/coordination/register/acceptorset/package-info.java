/**
 * The set of acceptors of the register: which acceptors a value names, what a quorum of them is, and how the
 * set changes.
 *
 * <p>Thread: no thread, no clock, no I/O. {@link burlarch.coordination.register.acceptorset.AcceptorSetPlanner}
 * is used by one thread, in a controller by the event loop; all other classes are immutable.
 *
 * <p>State: the set itself is part of the register's value. The planner owns only its memory of spares that
 * could not be brought in; that memory is lost at a restart, which costs an attempt.
 */
package burlarch.coordination.register.acceptorset;
