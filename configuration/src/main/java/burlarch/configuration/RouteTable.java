package burlarch.configuration;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Tenant;

/**
 * Finds the route of a request and the tenant of its API key in one configuration. Immutable. The lookups are made for
 * every request and return null, not an Optional, if there is no result.
 */
public interface RouteTable {
    /** Returns the configuration that this table was built from. */
    Configuration configuration();

    /** Returns the route of the host with the longest prefix of the path, or null if there is none. */
    Route match(String host, String path);

    /** Returns the tenant that owns an API key, or null if there is none. */
    Tenant tenantOf(String key);

    /** Returns whether requests need an API key on routes that are not public. */
    boolean requiresKey();
}
