package burlarch.node;

import burlarch.settings.Addresses;
import java.net.InetSocketAddress;
import java.util.List;

/** Where nodes take messages of one another: the first port of the range, which is alike on all machines. */
public final class NodeAddresses {
    private NodeAddresses() {}

    /** This process's own, IP:PORT. */
    public static String own(NodeSettings settings) {
        return settings.ip() + ":" + settings.portRange().first();
    }

    /** Those of the controllers that the settings name. */
    public static List<String> seeds(NodeSettings settings) {
        return settings.seeds().stream().map(seed -> atNodePort(settings, seed)).toList();
    }

    private static String atNodePort(NodeSettings settings, String seed) {
        return seed.substring(0, seed.lastIndexOf(':')) + ":"
                + settings.portRange().first();
    }

    /** An address as a socket takes it. */
    public static InetSocketAddress socket(String address) {
        return Addresses.parse(address);
    }
}
