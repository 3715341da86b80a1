package burlarch.node;

import burlarch.node.NodeSettings.PortRange;
import burlarch.settings.LiteralAddresses;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The addresses at which nodes connect to one another, and the names by which they know one another.
 *
 * <p>A machine may run one process of each role, and its processes share the machine's name and ports. So each role has
 * a port of its own out of the range, and the role is part of a process's name. What serves the control plane has the
 * first port, alike on all machines: others know such a machine by its control address alone and find its node port by
 * this rule. The ports of routers are announced by the routers themselves.
 */
public final class NodeAddresses {
    private static final char NAME_SEPARATOR = '/';

    private NodeAddresses() {}

    /** The own address, IP:PORT, of a process of that role. */
    public static String own(NodeSettings settings, String role) {
        return settings.ip() + ":" + port(settings.portRange(), role);
    }

    /** The name of the machine's process of that role, unique in the fleet. */
    public static String memberName(NodeSettings settings, String role) {
        return settings.nodeName() + NAME_SEPARATOR + role;
    }

    /** The addresses of the controllers that the settings name as seeds. */
    public static List<String> seeds(NodeSettings settings) {
        return settings.seeds().stream()
                .map(seed -> atControllerPort(settings.portRange(), seed))
                .toList();
    }

    private static String atControllerPort(PortRange ports, String seed) {
        return seed.substring(0, seed.lastIndexOf(':')) + ":" + port(ports, NodeRoles.CONTROLLER);
    }

    /** A range of one port leaves no second one: then no controller may run on a router's machine. */
    private static int port(PortRange ports, String role) {
        return role.equals(NodeRoles.ROUTER) ? Math.min(ports.first() + 1, ports.last()) : ports.first();
    }

    /** An address IP:PORT as a socket address. */
    public static InetSocketAddress socket(String address) {
        return LiteralAddresses.parse(address);
    }
}
