/**
 * HTTP types that the server side and the client side of the router share: header names, parsing of header values,
 * and the chunked framing of bodies.
 *
 * <p>Threads: any; all types are immutable or stateless. State: none.
 */
package burlarch.router.http;
