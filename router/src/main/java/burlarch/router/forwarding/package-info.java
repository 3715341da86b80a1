/**
 * Forwarding of client requests to instances. An {@link burlarch.router.forwarding.Exchange} is one client
 * request and its response; it makes one or more attempts, each of which sends the request to one instance.
 * What may follow an attempt depends on the state of its send: not sent, rejected by the instance, or
 * possibly executed. Only {@code ExchangeState} decides this.
 *
 * <p>Invariants: <em>at most once</em>: a request whose route does not allow retries is never sent again
 * once it may have been executed. <em>503 means not executed</em>: 503 with Retry-After is sent only if no send
 * may have been executed. <em>Truncation is visible</em>: if a response that has begun cannot be completed, its
 * client connection is closed.
 *
 * <p>Threads: Jetty's; the events of one exchange are serialized by its invoker. State: each exchange owns
 * its attempts and the response; {@code ForwardingContext} owns the state that all exchanges of the router share.
 */
package burlarch.router.forwarding;
