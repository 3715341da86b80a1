package burlarch.emulator.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * A subnet of 127.0.0.0/8 that no other demo uses: each machine has an address of its own, with the same ports on
 * all. A listening socket reserves it.
 */
final class LoopbackNetwork implements AutoCloseable {
    static final int FRONT = 8_782;
    static final int READINESS = 8_789;
    static final int CONTROL = 8_783;
    static final int INSTANCE = 8_080;
    static final int FIRST_NODE_PORT = 7_340;
    static final int LAST_NODE_PORT = 7_355;
    private static final int FIRST = 32;
    private static final int LAST = 127;

    private final int number;
    private final ServerSocket reservation;

    private LoopbackNetwork(int number, ServerSocket held) {
        this.number = number;
        this.reservation = held;
    }

    static LoopbackNetwork reserve() throws IOException {
        for (int number = FIRST; number <= LAST; number++) {
            ServerSocket socket = new ServerSocket();
            try {
                socket.bind(new InetSocketAddress(InetAddress.getByName("127." + number + ".0.1"), FIRST_NODE_PORT));
                return new LoopbackNetwork(number, socket);
            } catch (IOException taken) {
                socket.close();
            }
        }
        throw new IOException("no free addresses in 127.0.0.0/8");
    }

    String controller(int index) {
        return "127." + number + ".1." + index;
    }

    String router(int index) {
        return "127." + number + ".2." + index;
    }

    String instance(int index) {
        return "127." + number + ".3." + index;
    }

    @Override
    public void close() throws IOException {
        reservation.close();
    }
}
