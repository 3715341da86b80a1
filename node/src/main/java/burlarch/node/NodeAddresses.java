package burlarch.node;

import burlarch.node.NodeSettings.PortRange;
import burlarch.settings.LiteralAddresses;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Rules for the addresses at which nodes connect to one another and for the names that identify them.
 *
 * <p>A machine may run one process of each role, and these share the machine's name and port range. Therefore each role
 * has its own port of the range, and the role is part of a process's name. A process that serves the control plane has
 * the first port on every machine: other nodes know only its control address and derive its node port by this rule.
 * Routers announce their ports themselves.
 */
public final class NodeAddresses {
    private static final char NAME_SEPARATOR = '/';

    private NodeAddresses() {}

    /** Returns the address, {@code IP:PORT}, of the process with {@code role} on the machine with these settings. */
    public static String own(NodeSettings settings, String role) {
        return settings.ip() + ":" + port(settings.portRange(), role);
    }

    /** Returns the name, unique in the fleet, of the process with {@code role} on the machine with these settings. */
    public static String memberName(NodeSettings settings, String role) {
        return settings.nodeName() + NAME_SEPARATOR + role;
    }

    /** Returns the node addresses, {@code IP:PORT}, of the controllers that the settings name as seeds. */
    public static List<String> seeds(NodeSettings settings) {
        return settings.seeds().stream()
                .map(seed -> withControllerPort(settings.portRange(), seed))
                .toList();
    }

    private static String withControllerPort(PortRange ports, String seed) {
        return seed.substring(0, seed.lastIndexOf(':')) + ":" + port(ports, NodeRoles.CONTROLLER);
    }

    /** If the range has one port only, both roles have it, and no controller may run on a machine with a router. */
    private static int port(PortRange ports, String role) {
        return role.equals(NodeRoles.ROUTER) ? Math.min(ports.first() + 1, ports.last()) : ports.first();
    }

    /** Parses an address of the form {@code IP:PORT}. */
    public static InetSocketAddress socket(String address) {
        return LiteralAddresses.parse(address);
    }
}
