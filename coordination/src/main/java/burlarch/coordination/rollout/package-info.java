/**
 * Rollout of named weights versions to engines, a few engines at a time.
 *
 * <p>{@link burlarch.coordination.rollout.WeightsRollout} decides when to send an order to which engine, from what
 * instances announce, what engines report and whether this process holds the ownership. It returns
 * {@link burlarch.coordination.rollout.RolloutAction}s, which its caller performs.
 *
 * <p>Owner of the state: one {@code WeightsRollout} in each controller, in memory. Only the one whose controller
 * holds the ownership sends orders. A new owner learns from registrations and reports what its predecessor ordered;
 * engines reject orders of a previous owner by the fencing token.
 *
 * <p>Thread: none of its own, no I/O and no clock. The controller's event loop makes all calls, with nanoseconds of a
 * monotonic clock.
 */
package burlarch.coordination.rollout;
