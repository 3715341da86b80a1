package burlarch.configuration;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Tenant;

/** Look-ups in a configuration: the route of a request and the tenant of its key. Immutable. */
public interface RouteTable {
    /** Returns the configuration that this table was built from. */
    Configuration configuration();

    /** Returns the host's route with the longest prefix of the path, or null. */
    Route match(String host, String path);

    /** Returns the tenant of a key, or null. */
    Tenant tenantOf(String key);

    /** Returns whether requests on routes that are not public need a key. */
    boolean requiresKey();
}
