/**
 * The replicated registry of instances that serve requests.
 *
 * <p>Job: receive heartbeats, drains and ends of instances, replicate them to the other controllers and to routers, and
 * expire instances whose heartbeats are overdue. Thread: the controller's event loop. Owner of the state: the
 * {@link burlarch.coordination.registry.InstanceRegistry} of this controller, in memory only. After a start it is
 * rebuilt from heartbeats and from the other controllers.
 */
package burlarch.controller.instances;
