package burlarch.configuration;

import java.util.Locale;

/** The form in which names of hosts are compared. */
final class HostName {
    private HostName() {}

    /** In lower case, without a port. */
    static String of(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}
