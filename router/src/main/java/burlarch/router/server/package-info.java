/**
 * HTTP server of the router: client connections, reading of requests, writing of responses, and the readiness
 * check of the platform. It depends neither on instances nor on attempts; {@code burlarch.router.forwarding} uses it.
 *
 * <p>Threads: Jetty's; the calls for one request are made one after another. State: each
 * {@link burlarch.router.server.ClientResponse} owns the state of its response,
 * {@link burlarch.router.server.RequestBodyReader} the bytes read so far.
 */
package burlarch.router.server;
