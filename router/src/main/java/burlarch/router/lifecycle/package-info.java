/**
 * Start, readiness and graceful shutdown of a router: requests wait at the startup gate until the router has its
 * configuration and instances; a drain stops accepting requests that could outlive the process.
 *
 * <p>Threads: see each type; {@link burlarch.router.lifecycle.StartupGate},
 * {@link burlarch.router.lifecycle.InFlightRequests} and {@link burlarch.router.lifecycle.DrainState} may be
 * called on any thread. State: the gate owns the waiting requests, {@code InFlightRequests} the connections
 * with a request in flight, {@code DrainState} the drain once it has begun. Nothing is stored on disk.
 */
package burlarch.router.lifecycle;
