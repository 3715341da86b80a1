package burlarch.testing.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * Connections of misbehaving clients to one port. They stay open, and nothing is read from them, until the crowd is
 * closed. A connection that the port refuses or closes is not replaced.
 */
public final class ClientCrowd implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 200;
    /** A port that accepts none of so many connections has reached its limit. */
    private static final int MAX_REFUSED_IN_A_ROW = 20;
    /** A port that reads nothing for so long is not sent the rest. */
    private static final long SEND_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long POLL_INTERVAL_MILLIS = 5;

    private final List<Member> members = new ArrayList<>();

    private record Member(SocketChannel channel, ByteBuffer unsent) {}

    /** Opens the connections and sends on each what the misbehavior asks for, as far as the port reads it. */
    public static ClientCrowd open(
            InetSocketAddress address, int connections, Misbehavior misbehavior, RequestTemplate template, long seed)
            throws IOException, InterruptedException {
        return open(address, connections, number -> misbehavior.bytes(template, number, seed));
    }

    /** Opens the connections and sends on each the bytes for its number, as far as the port reads them. */
    public static ClientCrowd open(InetSocketAddress address, int connections, IntFunction<byte[]> bytesOfConnection)
            throws IOException, InterruptedException {
        ClientCrowd crowd = new ClientCrowd();
        int refusedInARow = 0;
        for (int i = 0; i < connections && refusedInARow < MAX_REFUSED_IN_A_ROW; i++) {
            boolean connected = crowd.connect(address, ByteBuffer.wrap(bytesOfConnection.apply(i)));
            refusedInARow = connected ? 0 : refusedInARow + 1;
        }
        crowd.sendAll();
        return crowd;
    }

    /** Number of connections that were opened. */
    public int size() {
        return members.size();
    }

    /** Opens one connection; returns false if the port does not accept it. */
    private boolean connect(InetSocketAddress address, ByteBuffer bytes) throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            channel.socket().connect(address, CONNECT_TIMEOUT_MILLIS);
            channel.configureBlocking(false);
            members.add(new Member(channel, bytes));
            send(members.get(members.size() - 1));
            return true;
        } catch (IOException notAccepted) {
            channel.close();
            return false;
        }
    }

    private void sendAll() throws InterruptedException {
        long progressNanos = System.nanoTime();
        while (System.nanoTime() - progressNanos < SEND_TIMEOUT_NANOS) {
            boolean unsent = false;
            for (Member member : members) {
                if (send(member)) {
                    progressNanos = System.nanoTime();
                }
                unsent |= member.unsent.hasRemaining();
            }
            if (!unsent) {
                return;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /** Sends what the port takes at once; returns whether it took any byte. */
    private static boolean send(Member member) {
        try {
            return member.unsent.hasRemaining() && member.channel.write(member.unsent) > 0;
        } catch (IOException closed) {
            member.unsent.position(member.unsent.limit());
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        for (Member member : members) {
            member.channel.close();
        }
    }
}
