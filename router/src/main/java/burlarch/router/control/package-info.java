/**
 * Links of a router to the controllers, and the state received from them: the configuration in force, the merged
 * view of instances, and the number of routers.
 *
 * <p>Invariants: <em>versions increase</em>: the version of the configuration in force never decreases.
 * <em>Acknowledged means in force</em>: a router acknowledges only what its handler has put into effect.
 *
 * <p>Thread: the node's event loop. State: {@link burlarch.router.control.ControllerLinks} owns the links, the
 * configuration in force and the instances; {@link burlarch.router.control.RouterCountTracker} owns the number of
 * routers. Nothing is stored on disk: after a restart the controllers send everything again.
 */
package burlarch.router.control;
