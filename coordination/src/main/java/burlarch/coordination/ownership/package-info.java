/**
 * Ownership: which one process may perform a singleton role or look after a key.
 *
 * <ul>
 *   <li>{@link burlarch.coordination.ownership.OwnershipLease}: when the owner of a singleton role may act,
 *       under the register's fencing token.
 *   <li>{@link burlarch.coordination.ownership.QuorumContactTracker}: whether this process is in contact with a
 *       quorum.
 *   <li>{@link burlarch.coordination.ownership.RendezvousAssignment}: who owns which key, without agreement.
 * </ul>
 *
 * <p>Thread: no thread, no clock, no I/O; times come in as nanoseconds of a monotonic clock. Leases and
 * trackers are used by one thread each, in a controller by the event loop. An assignment is immutable.
 *
 * <p>State: who owns a role, and under which token, is part of the register's value and is recovered from
 * there. What stands here is one process's own knowledge; a restarted process begins anew and waits its former
 * self out.
 */
package burlarch.coordination.ownership;
