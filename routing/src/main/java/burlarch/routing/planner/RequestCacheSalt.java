package burlarch.routing.planner;

import burlarch.configuration.Configuration.Tenant;
import burlarch.routing.CacheSalt;
import burlarch.routing.RouteRequest;
import burlarch.routing.instance.Engine;

/** The salts of one request, made anew only where the weights version of the next engine differs. */
final class RequestCacheSalt {
    private RouteRequest request;
    private long version = -1;
    private String text;
    private long hash;

    /** Starts with another request. */
    void begin(RouteRequest next) {
        request = next;
        version = -1;
    }

    /** The salt at an engine as text. */
    String text(Engine engine) {
        prepare(engine);
        return text;
    }

    /** The salt at an engine as one number. */
    long hash(Engine engine) {
        prepare(engine);
        return hash;
    }

    private void prepare(Engine engine) {
        long wanted = engine.version(request.model());
        if (wanted != version || wanted == 0) {
            Tenant tenant = request.tenant();
            text = CacheSalt.of(request.model(), wanted, tenant, engine.id);
            hash = CacheSalt.hash(text);
            version = wanted;
        }
    }
}
