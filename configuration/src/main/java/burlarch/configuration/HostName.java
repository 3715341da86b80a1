package burlarch.configuration;

import java.util.Locale;

/** Normalizes the host names of routes and of Host headers, so that they can be compared. */
final class HostName {
    private HostName() {}

    /** Returns the name in lower case and without a port. An IPv6 address keeps its brackets. */
    static String of(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}
