package burlarch.routing;

import burlarch.configuration.Configuration;
import burlarch.coordination.registry.Instance;
import java.util.Collection;

/**
 * Decides which instance gets a request, and what is refused. No I/O, no clock, not thread-safe: the caller
 * holds one lock around all calls. Times are nanoseconds of one monotonic clock.
 */
public interface Planner {
    /** The configuration in force. */
    void onConfiguration(Configuration configuration, long nowNanos);

    /** All instances that are known, whole; draining, loading and gone ones may be among them. */
    void onInstances(Collection<Instance> instances, long nowNanos);

    /**
     * How many live routers there are, this one included: budgets and learned capacity are shared by them.
     */
    void onLiveRouters(int live, long nowNanos);

    /** Events of one engine or store, in their order. */
    void onKvEvents(KvEvents events, long nowNanos);

    /** The whole of what one engine or store keeps, as its list told. */
    void onKvList(KvEvents list, long nowNanos);

    /**
     * Where the next attempt of a request goes. After a Send the caller reports {@link #onSent}, then
     * {@link #onEnded} exactly once; {@link #onFirstEvent} between them when a stream has begun.
     *
     * @param attempt 0 for the first; the planner keeps to the route's retries and the retry budget
     */
    Placement plan(RouteRequest request, int attempt, long nowNanos);

    /** A request is out to that instance. */
    void onSent(RouteRequest request, Placement.Send send, long nowNanos);

    /** The first bytes of the answer's body came. */
    void onFirstEvent(RouteRequest request, Placement.Send send, long nowNanos);

    /** The attempt is over. {@code load} null where the answer carried none. */
    void onEnded(RouteRequest request, Placement.Send send, AttemptOutcome outcome, ServerLoad load, long nowNanos);

    /** An answer or a refusal told which weights an instance has. */
    void onWeightsVersion(String instance, String model, long version, long nowNanos);
}
