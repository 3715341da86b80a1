/**
 * The rollout of model weights to engines, a singleton role.
 *
 * <p>Job: {@link burlarch.controller.rollout.RolloutCoordinator} executes the decisions of
 * {@link burlarch.coordination.rollout.WeightsRollout}: orders to engines, requests for reports, marks of loading.
 * Thread: the controller's event loop. Owner of the state: the register holds the named versions; the WeightsRollout
 * holds what is known of the engines, in memory, and learns it anew from their reports after a change of the lease's
 * holder.
 */
package burlarch.controller.rollout;
