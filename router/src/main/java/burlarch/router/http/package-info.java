/**
 * HTTP vocabulary that both sides of the router share: names of headers, parsing of header values, and the
 * chunked framing of bodies.
 *
 * <p>Thread: any; all types are immutable or stateless. State: none.
 */
package burlarch.router.http;
