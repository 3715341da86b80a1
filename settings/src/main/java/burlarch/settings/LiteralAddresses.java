package burlarch.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses literal IP addresses with a port, as used in settings and endpoint lists. */
public final class LiteralAddresses {
    private LiteralAddresses() {}

    /**
     * Parses an address such as {@code 10.0.0.4:8081} or {@code [::1]:8081}. Host names are rejected, because resolving
     * them would block.
     *
     * @throws IllegalArgumentException if the text is not a literal address with a port from 1 to 65535
     */
    public static InetSocketAddress parse(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        String host = colon < 0 ? "" : hostPort.substring(0, colon);
        if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
            throw new IllegalArgumentException("not a literal address: " + hostPort);
        }
        String digits = hostPort.substring(colon + 1);
        if (!digits.matches("[0-9]{1,5}") || Integer.parseInt(digits) == 0) {
            throw new IllegalArgumentException("no port: " + hostPort);
        }
        try {
            int port = Integer.parseInt(digits);
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not a literal address: " + hostPort, e);
        }
    }
}
