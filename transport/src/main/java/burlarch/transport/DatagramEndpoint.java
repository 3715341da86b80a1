package burlarch.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/** Small datagrams from and to one bound address. None is certain to arrive; what cannot leave is dropped. */
public final class DatagramEndpoint implements AutoCloseable {
    /** Fits one packet of any usual link. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;

    private static final int MAX_PER_TURN = 64;

    private final SelectorEventLoop loop;
    private final Receiver receiver;
    private final DatagramChannel channel;
    private final InetSocketAddress address;
    private final ByteBuffer input = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES + 1);
    private final AtomicLong dropped = new AtomicLong();

    /** Told of datagrams on the loop. */
    public interface Receiver {
        void onDatagram(InetSocketAddress from, byte[] content);
    }

    /** @throws IOException where the address cannot be bound */
    public DatagramEndpoint(SelectorEventLoop loop, InetSocketAddress bind, Receiver receiver) throws IOException {
        this.loop = loop;
        this.receiver = receiver;
        channel = DatagramChannel.open(StandardProtocolFamily.INET);
        try {
            channel.configureBlocking(false);
            channel.bind(bind);
            address = (InetSocketAddress) channel.getLocalAddress();
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        loop.execute(this::startReceiving);
    }

    /** Where it is bound. */
    public InetSocketAddress address() {
        return address;
    }

    /** Datagrams that could not leave or were larger than {@link #MAX_DATAGRAM_BYTES}. */
    public long droppedDatagrams() {
        return dropped.get();
    }

    /** Sends at once; from any thread. */
    public void send(InetSocketAddress to, byte[] content) {
        if (content.length > MAX_DATAGRAM_BYTES) {
            dropped.incrementAndGet();
            return;
        }
        try {
            if (channel.send(ByteBuffer.wrap(content), to) < content.length) {
                dropped.incrementAndGet();
            }
        } catch (IOException | RuntimeException e) {
            dropped.incrementAndGet();
        }
    }

    /** Receives and sends no more; from any thread. */
    @Override
    public void close() {
        SelectorEventLoop.closeQuietly(channel);
    }

    private void startReceiving() {
        try {
            loop.register(channel, SelectionKey.OP_READ, this::receive);
        } catch (IOException | RuntimeException e) {
            Logger.error(e, "Cannot receive datagrams");
        }
    }

    private void receive(SelectionKey key) {
        for (int left = MAX_PER_TURN; left > 0 && channel.isOpen(); left--) {
            input.clear();
            InetSocketAddress from;
            try {
                from = (InetSocketAddress) channel.receive(input);
            } catch (IOException e) {
                return;
            }
            if (from == null) {
                return;
            }
            input.flip();
            take(from);
        }
    }

    private void take(InetSocketAddress from) {
        if (input.remaining() > MAX_DATAGRAM_BYTES) {
            dropped.incrementAndGet();
            return;
        }
        byte[] content = new byte[input.remaining()];
        input.get(content);
        try {
            receiver.onDatagram(from, content);
        } catch (RuntimeException | Error e) {
            Logger.error(e, "Handling a datagram failed");
        }
    }
}
