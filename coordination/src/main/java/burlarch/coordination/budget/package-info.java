/**
 * How a budget that all routers of a fleet share is divided without a coordinator on the request path.
 *
 * <p>Job: {@link burlarch.coordination.budget.RouterCountEstimate} tells one router which fraction of the whole it may
 * use now, so that the fractions of all routers never sum to more than the whole.
 *
 * <p>Owner of the state: each router owns its estimate, in memory; after a restart it begins with its part of the reserve.
 * Thread: none of its own, no I/O and no clock; the router's event loop makes all calls, with nanoseconds of a monotonic
 * clock.
 */
package burlarch.coordination.budget;
