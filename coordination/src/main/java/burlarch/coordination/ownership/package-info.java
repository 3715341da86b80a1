/**
 * Ownership: which process may perform a singleton role, and which one is responsible for a key.
 *
 * <ul>
 *   <li>{@link burlarch.coordination.ownership.OwnershipLease}: when the owner of a singleton role may act, under the
 *       register's fencing token.
 *   <li>{@link burlarch.coordination.ownership.QuorumContactTracker}: whether this process is in contact with a
 *       quorum.
 *   <li>{@link burlarch.coordination.ownership.RendezvousAssignment}: which member owns which key, computed without
 *       communication.
 * </ul>
 *
 * <p>Thread: no class here starts a thread, reads a clock or does I/O; times are passed in as nanoseconds of a
 * monotonic clock. Leases and trackers are used by one thread each, in a controller the event loop. An assignment is
 * immutable.
 *
 * <p>State: who owns a role, and under which token, is part of the register's value and is recovered from there. This
 * package keeps one process's own knowledge; a restarted process starts without it and waits until the lease of its
 * former run has expired.
 */
package burlarch.coordination.ownership;
