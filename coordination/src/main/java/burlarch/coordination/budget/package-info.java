/**
 * Division of a budget that all routers of a fleet share, without a coordinator on the request path.
 *
 * <p>{@link burlarch.coordination.budget.RouterCountEstimate} counts the routers conservatively and derives the
 * fraction of the whole that one router may use now, so that the fractions of all routers never sum to more than the
 * whole. A router uses the count alone ({@code RouterCountTracker}) to divide its retry budget.
 *
 * <p>Owner of the state: each router owns its estimate, in memory; after a restart it begins with its part of the
 * reserve. Thread: none of its own, no I/O and no clock; the router's event loop makes all calls, with nanoseconds of
 * a monotonic clock.
 */
package burlarch.coordination.budget;
