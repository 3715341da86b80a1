/**
 * The instances that serve requests, as this controller and the others hear of them.
 *
 * <p>Job: take heartbeats, drains and ends of instances, replicate them to the other controllers and to routers, and
 * expire instances that are not heard from. Thread: the controller's event loop. Owner of the state: the
 * {@link burlarch.coordination.registry.InstanceRegistry} of this controller, in memory only; after a start it is
 * filled by heartbeats and by the other controllers.
 */
package burlarch.controller.instances;
