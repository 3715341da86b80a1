package burlarch.routing.planner;

import burlarch.configuration.Configuration.Tenant;
import burlarch.routing.CacheSalt;
import burlarch.routing.RouteRequest;
import burlarch.routing.instance.Engine;

/**
 * The cache salt of the current request at each engine. Most engines have the same weights version and thus
 * the same salt; it is recomputed only when the version differs from the one asked for before.
 */
final class RequestCacheSalt {
    private static final long NOT_COMPUTED = -1;
    private static final long UNKNOWN_VERSION = 0;

    private RouteRequest request;
    private long version = NOT_COMPUTED;
    private String text;
    private long hash;

    /** Begins with another request. */
    void begin(RouteRequest next) {
        request = next;
        version = NOT_COMPUTED;
    }

    /** The salt at an engine. */
    String text(Engine engine) {
        compute(engine);
        return text;
    }

    /** The {@link CacheSalt#hash} of the salt at an engine. */
    long hash(Engine engine) {
        compute(engine);
        return hash;
    }

    private void compute(Engine engine) {
        long engineVersion = engine.version(request.model());
        // Of unknown version the salt is unique to the engine.
        if (engineVersion != version || engineVersion == UNKNOWN_VERSION) {
            Tenant tenant = request.tenant();
            text = CacheSalt.of(request.model(), engineVersion, tenant, engine.id());
            hash = CacheSalt.hash(text);
            version = engineVersion;
        }
    }
}
