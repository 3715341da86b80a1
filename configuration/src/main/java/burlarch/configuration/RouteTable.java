package burlarch.configuration;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Tenant;

/**
 * A configuration made ready for look-ups: which route a request takes and whose key it carries. Immutable.
 */
public interface RouteTable {
    /** The configuration that this table was made of. */
    Configuration configuration();

    /** The route with the longest prefix that begins the path among those of the host, or null. */
    Route match(String host, String path);

    /** The tenant that holds the key, or null. */
    Tenant tenantOf(String key);

    /** Whether requests on routes that are not public need a key. */
    boolean requiresKey();
}
