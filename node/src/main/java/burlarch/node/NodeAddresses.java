package burlarch.node;

import burlarch.settings.LiteralAddresses;
import java.net.InetSocketAddress;
import java.util.List;

/** The addresses at which nodes connect to one another: the first port of the range, the same on all machines. */
public final class NodeAddresses {
    private NodeAddresses() {}

    /** This process's own address, IP:PORT. */
    public static String own(NodeSettings settings) {
        return settings.ip() + ":" + settings.portRange().first();
    }

    /** The addresses of the controllers that the settings name as seeds. */
    public static List<String> seeds(NodeSettings settings) {
        return settings.seeds().stream().map(seed -> atNodePort(settings, seed)).toList();
    }

    private static String atNodePort(NodeSettings settings, String seed) {
        return seed.substring(0, seed.lastIndexOf(':')) + ":"
                + settings.portRange().first();
    }

    /** An address IP:PORT as a socket address. */
    public static InetSocketAddress socket(String address) {
        return LiteralAddresses.parse(address);
    }
}
