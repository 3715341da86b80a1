package burlarch.emulator.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Subnet of 127.0.0.0/8 that no other demo or bench uses. Each emulated machine has an address of its own, and all use
 * the same ports. A bound socket reserves the subnet until it is closed.
 */
final class LoopbackNetwork implements AutoCloseable {
    static final int FRONT_PORT = 8_782;
    static final int READINESS_PORT = 8_789;
    static final int CONTROL_PORT = 8_783;
    static final int INSTANCE_PORT = 8_080;
    static final int FIRST_NODE_PORT = 7_340;
    static final int LAST_NODE_PORT = 7_355;
    private static final int FIRST_SUBNET = 32;
    private static final int LAST_SUBNET = 127;

    private final int subnet;
    private final ServerSocket reservation;

    private LoopbackNetwork(int subnet, ServerSocket reservation) {
        this.subnet = subnet;
        this.reservation = reservation;
    }

    /** Reserves the first free subnet. */
    static LoopbackNetwork reserve() throws IOException {
        for (int subnet = FIRST_SUBNET; subnet <= LAST_SUBNET; subnet++) {
            ServerSocket socket = new ServerSocket();
            try {
                socket.bind(new InetSocketAddress(InetAddress.getByName("127." + subnet + ".0.1"), FIRST_NODE_PORT));
                return new LoopbackNetwork(subnet, socket);
            } catch (IOException taken) {
                socket.close();
            }
        }
        throw new IOException("no free addresses in 127.0.0.0/8");
    }

    String controller(int index) {
        return "127." + subnet + ".1." + index;
    }

    String router(int index) {
        return "127." + subnet + ".2." + index;
    }

    String instance(int index) {
        return "127." + subnet + ".3." + index;
    }

    @Override
    public void close() throws IOException {
        reservation.close();
    }
}
