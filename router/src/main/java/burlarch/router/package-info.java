/**
 * The router program: it accepts requests of clients and forwards each to an instance.
 *
 * <p>{@link burlarch.router.RouterProgram} assembles the parts and {@link burlarch.router.RouterServer} the
 * data path. Arrows between the packages: {@code server} and {@code upstream} face clients and instances and
 * know neither each other nor {@code forwarding}, which builds on both; {@code control} and
 * {@code prefixcache} receive updates of the controllers and of other routers; {@code lifecycle} covers start
 * and drain; {@code http} is shared vocabulary.
 *
 * <p>Threads: requests run on Jetty's threads, updates on the event loop; the planner is called under one
 * lock. State: see the packages; nothing is stored on disk.
 */
package burlarch.router;
