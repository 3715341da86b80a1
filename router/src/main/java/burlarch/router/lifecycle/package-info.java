/**
 * Start, readiness and graceful shutdown of a router: requests wait at the startup gate until the router knows
 * where requests go; a drain stops accepting requests that could outlive the process.
 *
 * <p>Threads: every type states its own; {@link burlarch.router.lifecycle.StartupGate},
 * {@link burlarch.router.lifecycle.InFlightRequests} and {@link burlarch.router.lifecycle.DrainState} may be
 * called on any thread. State: the gate owns the waiting requests, {@code InFlightRequests} the connections
 * with a request in flight, {@code DrainState} the drain once it has begun. Nothing is stored.
 */
package burlarch.router.lifecycle;
