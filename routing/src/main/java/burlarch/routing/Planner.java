package burlarch.routing;

import burlarch.configuration.Configuration;
import burlarch.coordination.registry.Instance;
import java.util.Collection;

/**
 * Request scheduler of one router: decides which instance receives each attempt of a request, and which requests are
 * rejected.
 *
 * <p>Implementations do no I/O, read no clock and are not thread-safe: the caller holds one lock around all calls.
 * {@code nowNanos} is the current time in nanoseconds of one monotonic clock, the same for all calls.
 *
 * <p>Life cycle of an attempt: {@link #plan} returns a {@link Placement.Send}; then follow {@link #onSent}, at most
 * one {@link #onFirstEvent}, and exactly one {@link #onEnded}, all with the same {@code send} object. A report with a
 * {@code send} that is unknown or has already ended is ignored.
 */
public interface Planner {
    /** Applies a configuration that came into force. It replaces the former one. */
    void onConfiguration(Configuration configuration, long nowNanos);

    /**
     * Replaces the set of known instances; those that are missing are forgotten. Instances that are loading, draining
     * or gone may be among them and receive no requests.
     */
    void onInstances(Collection<Instance> instances, long nowNanos);

    /**
     * Sets the number of live routers, this one included. Retry budgets and the learned capacity are divided by it.
     */
    void onLiveRouters(int live, long nowNanos);

    /**
     * Sets the position of this router among the live routers of its zone. It determines the router's own subset of
     * engines.
     */
    void onRouterPosition(RouterPosition position, long nowNanos);

    /** Applies prefix-cache events of one engine or store, in the order in which it sent them. */
    void onKvEvents(KvEvents events, long nowNanos);

    /** Applies the complete list of what one engine or store caches. It replaces what earlier events reported. */
    void onKvList(KvEvents list, long nowNanos);

    /**
     * Decides on the next attempt of a request.
     *
     * @param attempt number of the attempt, from 0; attempts beyond the route's retries or the retry budget are
     *     rejected
     * @return where to send the request, or that it is rejected; never null
     */
    Placement plan(RouteRequest request, int attempt, long nowNanos);

    /** Reports that the request is being sent to the instance of {@code send}. */
    void onSent(RouteRequest request, Placement.Send send, long nowNanos);

    /**
     * Reports that the first bytes of the response body arrived.
     *
     * @param load load reported in the response head, null if there was none
     */
    void onFirstEvent(RouteRequest request, Placement.Send send, ServerLoad load, long nowNanos);

    /**
     * Reports the end of an attempt.
     *
     * @param load load reported by the response, null if there was none
     */
    void onEnded(RouteRequest request, Placement.Send send, AttemptOutcome outcome, ServerLoad load, long nowNanos);

    /**
     * Reports the weights version that an instance named in a response or rejection.
     *
     * @param instance id of the instance
     * @param model name of the model; if it is null, the report is ignored
     */
    void onWeightsVersion(String instance, String model, long version, long nowNanos);
}
