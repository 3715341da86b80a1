/**
 * Routing decisions of one router: which instance receives the next attempt of a request, which requests are rejected
 * at once, and which cached prompt segments are transferred between engines and stores. This package holds the
 * interface ({@link burlarch.routing.Planner}) and the values that cross it; {@code
 * burlarch.routing.planner.FleetPlanner} implements it.
 *
 * <p>Packages, lowest layer first; none depends on a later one: {@code routing} (interface and values), {@code
 * routing.index} (which source caches which segments), {@code routing.instance} (estimates for single instances and
 * stores), {@code routing.admission} (admission control of prefix-cache misses, retry budget), {@code routing.planner}
 * (schedulers, KV transfers, attempts in flight, and the planner itself).
 *
 * <p>Threads and state: nothing here does I/O, reads a clock or starts a thread. All mutable state belongs to one
 * planner and is kept in memory only; a restarted router starts without it. No class is thread-safe: the caller holds
 * one lock around every call of the planner. Times are nanoseconds of one monotonic clock, passed in by the caller;
 * they are compared by difference because their origin is arbitrary.
 */
package burlarch.routing;
