package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * A subnet of 127.0.0.0/8 that nothing else uses. Each machine of a run has an address of its own, and ports are alike
 * on all machines. A bound socket reserves the subnet until it is closed.
 */
final class LoopbackNetwork implements AutoCloseable {
    static final int FRONT_PORT = 8782;
    static final int READINESS_PORT = 8789;
    static final int CONTROL_PORT = 8783;
    static final int SERVER_PORT = 8080;
    static final int FIRST_NODE_PORT = 7340;
    static final int LAST_NODE_PORT = 7355;
    private static final int FIRST_SUBNET = 130;
    private static final int LAST_SUBNET = 220;

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
        throw new IOException("no free subnet of 127.0.0.0/8");
    }

    String controller(int index) {
        return "127." + subnet + ".1." + index;
    }

    String router(int index) {
        return "127." + subnet + ".2." + index;
    }

    String server(int index) {
        return "127." + subnet + ".3." + index;
    }

    @Override
    public void close() throws IOException {
        reservation.close();
    }
}
