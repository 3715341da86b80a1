package burlarch.routing.planner;

import burlarch.configuration.Configuration.Tenant;
import burlarch.routing.CacheSalt;
import burlarch.routing.RouteRequest;
import burlarch.routing.instance.TrackedInstance;

/**
 * Cached cache salt of the current request at each engine. Most engines have the same weights version and thus the
 * same salt; it is recomputed only if the version differs from that of the previous call.
 *
 * <p>Invariant <em>no store for superseded weights</em>: nothing is fetched from a store or saved to one under the
 * salt of a superseded version. A request that an engine retains while it loads new weights computes the rest of its
 * prompt with these, yet caches and saves it under the salt that it was sent with. An engine that still has the old
 * weights would then fetch KV entries of another version. For transfers between engines see {@link
 * Engine#hasConsistentCache}.
 */
final class RequestCacheSalt {
    private static final long NOT_COMPUTED = -1;
    private static final long UNKNOWN_VERSION = 0;

    private RouteRequest request;
    private long version = NOT_COMPUTED;
    private String text;
    private long hash;
    private long newestSupersededVersion;

    /**
     * Starts with another request.
     *
     * @param newestSuperseded newest superseded version of its model's weights, 0 for none
     */
    void begin(RouteRequest next, long newestSuperseded) {
        request = next;
        version = NOT_COMPUTED;
        newestSupersededVersion = newestSuperseded;
    }

    /** Whether the engine has weights that newer ones are replacing. False for an engine of unknown version. */
    boolean isSuperseded(TrackedInstance engine) {
        long engineVersion = engine.version(request.model());
        return engineVersion != UNKNOWN_VERSION && engineVersion <= newestSupersededVersion;
    }

    /** Returns the salt at an engine. */
    String text(TrackedInstance engine) {
        compute(engine);
        return text;
    }

    /** Returns the {@link CacheSalt#hash} of the salt at an engine. */
    long hash(TrackedInstance engine) {
        compute(engine);
        return hash;
    }

    private void compute(TrackedInstance engine) {
        long engineVersion = engine.version(request.model());
        // For an unknown version the salt is unique to the engine.
        if (engineVersion != version || engineVersion == UNKNOWN_VERSION) {
            Tenant tenant = request.tenant();
            text = CacheSalt.of(request.model(), engineVersion, tenant, engine.id());
            hash = CacheSalt.hash(text);
            version = engineVersion;
        }
    }
}
