/**
 * Service registration: announcements of running servers, their liveness, and the merging of what several controllers
 * publish in a router.
 *
 * <p>Ownership of the views:
 *
 * <ul>
 *   <li>Each controller owns one {@link burlarch.coordination.registry.InstanceRegistry}. It is fed by announcements
 *       at that controller and by those that the other controllers forward.
 *   <li>Each router owns one {@link burlarch.coordination.registry.MergedInstanceView}. It keeps what each controller
 *       published last, and derives one view from all of them.
 * </ul>
 *
 * <p>Both are in memory only. A restarted controller learns the instances from their next heartbeats, a restarted
 * router from the snapshots of the controllers.
 *
 * <p>Thread: none of its own, no I/O and no clock. Each object is used by one thread, its node's event loop; times
 * are nanoseconds of a monotonic clock that the caller passes in.
 */
package burlarch.coordination.registry;
