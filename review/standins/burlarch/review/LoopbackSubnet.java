package burlarch.review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * A subnet of 127.0.0.0/8 that no other run uses. Each machine of the deployment has an address of its own, and all
 * machines use the same ports, as the pages describe. A bound socket reserves the subnet until it is closed.
 */
final class LoopbackSubnet implements AutoCloseable {
    static final int FRONT_PORT = 8_782;
    static final int CONTROL_PORT = 8_783;
    static final int READINESS_PORT = 8_789;
    static final int INSTANCE_PORT = 8_080;
    static final int FIRST_NODE_PORT = 7_340;
    static final int LAST_NODE_PORT = 7_355;

    private static final int FIRST_SUBNET = 130;
    private static final int LAST_SUBNET = 250;

    private final int subnet;
    private final ServerSocket reservation;

    private LoopbackSubnet(int subnet, ServerSocket reservation) {
        this.subnet = subnet;
        this.reservation = reservation;
    }

    /** Reserves the first free subnet. */
    static LoopbackSubnet reserve() throws IOException {
        for (int subnet = FIRST_SUBNET; subnet <= LAST_SUBNET; subnet++) {
            ServerSocket socket = new ServerSocket();
            try {
                socket.bind(new InetSocketAddress(InetAddress.getByName("127." + subnet + ".0.1"), FIRST_NODE_PORT));
                return new LoopbackSubnet(subnet, socket);
            } catch (IOException taken) {
                socket.close();
            }
        }
        throw new IOException("no free addresses in 127.0.0.0/8");
    }

    /** Address of a core machine, numbered from 1. */
    String core(int number) {
        return "127." + subnet + ".1." + number;
    }

    /** Address of an edge machine, numbered from 1. */
    String edge(int number) {
        return "127." + subnet + ".2." + number;
    }

    /** Address of an instance of a service, numbered from 1. */
    String instance(int number) {
        return "127." + subnet + ".3." + number;
    }

    @Override
    public void close() throws IOException {
        reservation.close();
    }
}
