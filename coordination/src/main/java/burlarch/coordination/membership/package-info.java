/**
 * Group membership: what members say of each other, and its form in datagrams. The protocol that exchanges it is in
 * {@link burlarch.coordination.membership.swim}.
 *
 * <p>Records and pure functions alone: no state, no thread, no I/O and no clock.
 */
package burlarch.coordination.membership;
