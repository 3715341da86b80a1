package burlarch.configuration;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Tenant;
import java.util.HashMap;
import java.util.Map;

/**
 * A route table that finds a route by hash lookups. It looks up each prefix of a path that ends at a slash, from the
 * length of the host's longest route prefix down to the shortest. The longest route prefix of the host therefore bounds
 * the work for any path that a client sends. Immutable.
 */
public final class IndexedRouteTable implements RouteTable {
    private final Configuration configuration;
    private final Map<String, HostRoutes> routesByHost = new HashMap<>();
    private final Map<String, Tenant> tenantsByKey = new HashMap<>();

    private IndexedRouteTable(Configuration configuration) {
        this.configuration = configuration;
        for (Route route : configuration.routes()) {
            routesByHost
                    .computeIfAbsent(HostName.of(route.hostname()), host -> new HostRoutes())
                    .add(route);
        }
        for (Tenant tenant : configuration.tenants()) {
            for (String key : tenant.apiKeys()) {
                tenantsByKey.put(key, tenant);
            }
        }
    }

    /** Builds the table of a valid configuration. */
    public static IndexedRouteTable of(Configuration configuration) {
        return new IndexedRouteTable(configuration);
    }

    @Override
    public Configuration configuration() {
        return configuration;
    }

    /** {@inheritDoc} Ignores the case and the port of the host, and the query of the path. */
    @Override
    public Route match(String host, String path) {
        if (host == null || path == null) {
            return null;
        }
        HostRoutes hostRoutes = routesByHost.get(HostName.of(host));
        return hostRoutes == null ? null : hostRoutes.match(path);
    }

    @Override
    public Tenant tenantOf(String key) {
        return key == null ? null : tenantsByKey.get(key);
    }

    @Override
    public boolean requiresKey() {
        return !configuration.tenants().isEmpty();
    }

    /** The routes of one host. */
    private static final class HostRoutes {
        private final Map<String, Route> byPrefix = new HashMap<>();
        private int maxPrefixLength;

        void add(Route route) {
            byPrefix.put(route.pathPrefix(), route);
            maxPrefixLength = Math.max(maxPrefixLength, route.pathPrefix().length());
        }

        Route match(String target) {
            int queryStart = target.indexOf('?');
            String path = queryStart < 0 ? target : target.substring(0, queryStart);
            int slash = path.lastIndexOf('/', maxPrefixLength - 1);
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
