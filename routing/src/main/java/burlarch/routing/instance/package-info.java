/**
 * State and estimates that one router keeps for a single instance or store, from announcements, responses and
 * prefix-cache events: health, speed, load, link speed, weights versions.
 *
 * <p>Threads and state: a {@link burlarch.routing.instance.TrackedInstance} and its estimates belong to one planner
 * and are used under that planner's lock. They exist as long as the instance is known and are never stored. A
 * restarted instance has a new id and starts with fresh estimates. Reading an estimate allocates nothing.
 */
package burlarch.routing.instance;
