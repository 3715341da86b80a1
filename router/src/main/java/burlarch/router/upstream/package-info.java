/**
 * HTTP/1.1 client towards the instances ("upstream"): connections, their pool, and the state of each send.
 *
 * <p>Invariant <em>one send</em>: a connection carries one request at a time, never writes a request twice, and
 * is reused only after a complete response with nothing behind it.
 *
 * <p>Threads: Jetty's selector and executor threads. State: {@code UpstreamConnection} owns the state of its
 * socket, {@code UpstreamConnectionPool} the idle connections, {@code UpstreamCall} who may end the call; each
 * guards its state by its own monitor.
 */
package burlarch.router.upstream;
