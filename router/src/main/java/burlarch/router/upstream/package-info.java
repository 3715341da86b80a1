/**
 * HTTP/1.1 client towards the instances ("upstream"): connections, their pool, and the state of each send.
 *
 * <p>Invariant <em>one request at a time</em>: a connection carries one request at a time, never writes a request
 * twice, and is reused only after a complete response that no further bytes follow.
 *
 * <p>Threads: Jetty's selector and executor threads. State: {@code UpstreamConnection} owns the state of its
 * socket, {@code UpstreamConnectionPool} the idle connections, {@code UpstreamCall} whether the call has ended; each
 * guards its state by its own monitor.
 */
package burlarch.router.upstream;
