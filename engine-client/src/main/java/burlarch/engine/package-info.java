/**
 * Calls to engines and to KV stores that are no requests of clients: the subscription to prefix-cache events,
 * the report of an engine, and orders to load weights.
 *
 * <p>Threads: the HTTP client's; the futures complete there, and the calls for one source come one after
 * another. State: {@link burlarch.engine.KvEventSubscriber} owns the subscriptions, each of which owns its
 * {@code KvSubscriptionState}. Failures are values: a future never completes exceptionally because an engine
 * does not respond.
 */
package burlarch.engine;
