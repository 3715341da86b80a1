/**
 * Client for control calls to engines and KV stores, as opposed to requests of clients: the subscription to
 * prefix-cache events, the report of an engine, and orders to load weights.
 *
 * <p>Threads: futures complete on threads of the HTTP client, and the calls for one source are sequential. State:
 * {@link burlarch.engine.KvEventSubscriber} owns the subscriptions, each of which owns its
 * {@code KvSubscriptionState}. Errors: a failed call is a value of its result; a future never completes exceptionally
 * because an engine does not respond.
 */
package burlarch.engine;
