/**
 * Group membership: the updates that members send about each other, and their encoding in datagrams. The protocol
 * that exchanges them is in {@link burlarch.coordination.membership.swim}.
 *
 * <p>Contains only records and pure functions: no state, no thread, no I/O and no clock.
 */
package burlarch.coordination.membership;
