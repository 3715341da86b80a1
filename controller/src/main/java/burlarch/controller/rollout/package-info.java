/**
 * The rollout of model weights to engines, a singleton role.
 *
 * <p>Job: {@link burlarch.controller.rollout.RolloutCoordinator} executes the decisions of
 * {@link burlarch.coordination.rollout.WeightsRollout}: it sends orders to engines, requests reports and marks
 * instances as loading. Thread: the controller's event loop. Owner of the state: the register holds the target
 * versions. The WeightsRollout holds the engines' known states in memory, and learns them again from reports after the
 * lease changes its holder.
 */
package burlarch.controller.rollout;
