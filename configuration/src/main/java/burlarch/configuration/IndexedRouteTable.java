package burlarch.configuration;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Tenant;
import java.util.HashMap;
import java.util.Map;

/**
 * Finds routes by hash look-ups: the prefixes of a path that end at a slash, from the longest that any route of the
 * host has to the shortest. The work is bounded by the host's longest prefix, whatever a client sends.
 */
public final class IndexedRouteTable implements RouteTable {
    private final Configuration configuration;
    private final Map<String, HostRoutes> hosts = new HashMap<>();
    private final Map<String, Tenant> tenants = new HashMap<>();

    private IndexedRouteTable(Configuration configuration) {
        this.configuration = configuration;
        for (Route route : configuration.routes()) {
            hosts.computeIfAbsent(HostName.of(route.hostname()), host -> new HostRoutes())
                    .add(route);
        }
        for (Tenant tenant : configuration.tenants()) {
            for (String key : tenant.apiKeys()) {
                tenants.put(key, tenant);
            }
        }
    }

    /** Returns the table of a valid configuration. */
    public static IndexedRouteTable of(Configuration configuration) {
        return new IndexedRouteTable(configuration);
    }

    @Override
    public Configuration configuration() {
        return configuration;
    }

    /** {@inheritDoc} The case and port of the host and the query of the path are ignored. */
    @Override
    public Route match(String host, String path) {
        if (host == null || path == null) {
            return null;
        }
        HostRoutes routes = hosts.get(HostName.of(host));
        return routes == null ? null : routes.match(path);
    }

    @Override
    public Tenant tenantOf(String key) {
        return key == null ? null : tenants.get(key);
    }

    @Override
    public boolean requiresKey() {
        return !configuration.tenants().isEmpty();
    }

    /** The routes of one host. */
    private static final class HostRoutes {
        private final Map<String, Route> byPrefix = new HashMap<>();
        private int longest;

        void add(Route route) {
            byPrefix.put(route.pathPrefix(), route);
            longest = Math.max(longest, route.pathPrefix().length());
        }

        Route match(String target) {
            int query = target.indexOf('?');
            String path = query < 0 ? target : target.substring(0, query);
            int slash = path.lastIndexOf('/', longest - 1);
            while (slash >= 0) {
                Route route = byPrefix.get(path.substring(0, slash + 1));
                if (route != null) {
                    return route;
                }
                slash = path.lastIndexOf('/', slash - 1);
            }
            return null;
        }
    }
}
