package burlarch.configuration;

import java.util.Locale;

/** Normalizes host names for comparison. */
final class HostName {
    private HostName() {}

    /** Returns the name in lower case, without a port. */
    static String of(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}
