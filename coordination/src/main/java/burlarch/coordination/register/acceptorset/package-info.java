/**
 * The set of acceptors of the register: which acceptors a value names, what a quorum of them is, and how the set
 * changes.
 *
 * <p>Thread: no class here starts a thread, reads a clock or does I/O.
 * {@link burlarch.coordination.register.acceptorset.AcceptorSetPlanner} is used by one thread, in a controller the
 * event loop; all other classes are immutable.
 *
 * <p>State: the set itself is part of the register's value. The planner owns only the list of spares that could not
 * be added; it is lost at a restart, which costs one failed attempt.
 */
package burlarch.coordination.register.acceptorset;
