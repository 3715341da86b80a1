/**
 * The side of the router that faces clients: connections, reading of requests, writing of responses, and the
 * readiness check of the platform. It knows neither instances nor attempts; {@code burlarch.router.forwarding}
 * builds on it.
 *
 * <p>Threads: Jetty's; the calls for one request come one after another. State: each
 * {@link burlarch.router.server.ClientResponse} owns the state of its response,
 * {@link burlarch.router.server.RequestBodyReader} the bytes read so far.
 */
package burlarch.router.server;
