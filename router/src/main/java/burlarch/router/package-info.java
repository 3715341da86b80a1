/**
 * The router program: it accepts requests of clients and forwards each to an instance.
 *
 * <p>{@link burlarch.router.RouterProgram} assembles the parts and {@link burlarch.router.RouterServer} the
 * data path. Dependencies of the packages: {@code server} is used for clients and {@code upstream} for instances;
 * they depend neither on each other nor on {@code forwarding}, which uses both; {@code control} and
 * {@code prefixcache} receive updates of the controllers and of other routers; {@code lifecycle} handles start
 * and drain; {@code http} contains shared HTTP types.
 *
 * <p>Threads: requests run on Jetty's threads, updates on the event loop; the planner is called under one
 * lock. State: see the packages; nothing is stored on disk.
 */
package burlarch.router;
