/**
 * What one router knows and estimates of a single instance or store, from announcements, from responses and
 * from prefix-cache events: health, speed, load, link speed, weights versions.
 *
 * <p>Threads and state: an {@link burlarch.routing.instance.Engine} and its estimates belong to one planner
 * and are used under that planner's lock. They live as long as the instance is known and are never stored:
 * a restarted instance has a new id and begins with fresh estimates. Reading an estimate allocates nothing.
 */
package burlarch.routing.instance;
