/**
 * Forwarding of requests to instances. An {@link burlarch.router.forwarding.Exchange} is one request of a
 * client and its response; it makes one or more attempts, each of which sends the request to one instance.
 * What may follow an attempt depends on what is known of its send: not sent, rejected by the instance, or
 * possibly executed. {@code ExchangeState} alone decides this.
 *
 * <p>Invariants: <em>at most once</em>: a request whose route does not allow repetition is never sent again
 * once it may have run. <em>Honest rejection</em>: 503 with Retry-After is sent only if no send may have run.
 * <em>No false end</em>: a response that has begun and cannot be completed ends with its connection.
 *
 * <p>Threads: Jetty's; the events of one exchange are serialized by its invoker. State: each exchange owns
 * its attempts and the response; {@code ForwardingContext} owns what all exchanges of the router share.
 */
package burlarch.router.forwarding;
