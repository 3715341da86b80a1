package burlarch.routing;

import burlarch.configuration.Configuration;
import burlarch.coordination.registry.Instance;
import java.util.Collection;

/**
 * Decides which instance receives each attempt of a request, and which requests are rejected.
 *
 * <p>An implementation does no I/O, reads no clock and is not thread-safe: the caller holds one lock around
 * all calls. {@code nowNanos} is the current time in nanoseconds of one monotonic clock, the same for all calls.
 *
 * <p>The life of one attempt: {@link #plan} returns a {@link Placement.Send}; then {@link #onSent}, at most one
 * {@link #onFirstEvent}, and exactly one {@link #onEnded}, all with the same {@code send} object. A report
 * with a {@code send} that is unknown or has already ended is ignored.
 */
public interface Planner {
    /** A configuration came into force; it replaces the former one. */
    void onConfiguration(Configuration configuration, long nowNanos);

    /**
     * The complete set of known instances; those that are missing are forgotten. Instances that are loading,
     * draining or gone may be among them and receive no requests.
     */
    void onInstances(Collection<Instance> instances, long nowNanos);

    /** The number of live routers, this one included. They divide retry budgets and learned capacity. */
    void onLiveRouters(int live, long nowNanos);

    /** The place of this router among the live routers of its zone, by which they share out the engines. */
    void onRouterPosition(RouterPosition position, long nowNanos);

    /** Prefix-cache events of one engine or store, in the order in which it sent them. */
    void onKvEvents(KvEvents events, long nowNanos);

    /** The complete list of what one engine or store caches; replaces what its events had reported. */
    void onKvList(KvEvents list, long nowNanos);

    /**
     * Decides on the next attempt of a request.
     *
     * @param attempt 0 for the first; further ones are refused beyond the route's retries and the retry budget
     * @return to send it, or to reject it; never null
     */
    Placement plan(RouteRequest request, int attempt, long nowNanos);

    /** The request is being sent to the instance of {@code send}. */
    void onSent(RouteRequest request, Placement.Send send, long nowNanos);

    /**
     * The first bytes of the response's body arrived.
     *
     * @param load as the head of the response reported it, null if it carried none
     */
    void onFirstEvent(RouteRequest request, Placement.Send send, ServerLoad load, long nowNanos);

    /**
     * The attempt ended.
     *
     * @param load as reported by the response, null if it carried none
     */
    void onEnded(RouteRequest request, Placement.Send send, AttemptOutcome outcome, ServerLoad load, long nowNanos);

    /**
     * A response or rejection of an instance named the weights version that the instance has loaded.
     *
     * @param instance id of the instance
     * @param model null is ignored
     */
    void onWeightsVersion(String instance, String model, long version, long nowNanos);
}
