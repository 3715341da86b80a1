package burlarch.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Sends and receives small datagrams on one bound address. Delivery is not certain; a datagram that cannot be sent is
 * dropped and counted.
 *
 * <p><b>Threads.</b> {@link #send}, {@link #close}, {@link #address} and {@link #droppedDatagrams} may be called by any
 * thread; the receiver is called on the event loop. What it throws is logged and loses no later datagram.
 *
 * <p>The owner closes the endpoint; the event loop stays open.
 */
public final class DatagramEndpoint implements AutoCloseable {
    /** The largest datagram: it fits one packet of any usual network. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;

    /** Bounds one turn of the event loop, so that a flood of datagrams does not starve connections. */
    private static final int MAX_DATAGRAMS_PER_TURN = 64;

    private final SelectorEventLoop loop;
    private final Receiver receiver;
    private final DatagramChannel channel;
    private final InetSocketAddress address;
    /** One byte longer than the largest datagram, so that a longer one is noticed. Owned by the event loop. */
    private final ByteBuffer input = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES + 1);

    private final AtomicLong droppedDatagrams = new AtomicLong();

    /** Receives datagrams, on the event loop. */
    public interface Receiver {
        /** A datagram has come; the array is the receiver's own. */
        void onDatagram(InetSocketAddress from, byte[] content);
    }

    /**
     * Binds the address and begins to receive.
     *
     * @throws IOException if the address cannot be bound
     */
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

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Returns how many datagrams could not be sent, or were larger than {@link #MAX_DATAGRAM_BYTES} in either
     * direction.
     */
    public long droppedDatagrams() {
        return droppedDatagrams.get();
    }

    /** Sends a datagram at once, or drops it. */
    public void send(InetSocketAddress to, byte[] content) {
        if (content.length > MAX_DATAGRAM_BYTES) {
            droppedDatagrams.incrementAndGet();
            return;
        }
        try {
            if (channel.send(ByteBuffer.wrap(content), to) < content.length) {
                droppedDatagrams.incrementAndGet();
            }
        } catch (IOException | RuntimeException e) {
            // A full buffer, no route or a closed channel: membership copes with lost datagrams anyway.
            droppedDatagrams.incrementAndGet();
        }
    }

    /** Sends and receives no more. */
    @Override
    public void close() {
        QuietCloser.close(channel);
    }

    private void startReceiving() {
        try {
            loop.register(channel, SelectionKey.OP_READ, this::receiveAll);
        } catch (IOException | RuntimeException e) {
            Logger.error(e, "cannot receive datagrams: address={}", address);
        }
    }

    private void receiveAll(SelectionKey key) {
        for (int left = MAX_DATAGRAMS_PER_TURN; left > 0 && channel.isOpen(); left--) {
            input.clear();
            InetSocketAddress from;
            try {
                from = (InetSocketAddress) channel.receive(input);
            } catch (IOException e) {
                Logger.debug(e, "receive failed: address={}", address);
                return;
            }
            if (from == null) {
                return;
            }
            input.flip();
            deliver(from);
        }
    }

    private void deliver(InetSocketAddress from) {
        if (input.remaining() > MAX_DATAGRAM_BYTES) {
            droppedDatagrams.incrementAndGet();
            return;
        }
        byte[] content = new byte[input.remaining()];
        input.get(content);
        try {
            receiver.onDatagram(from, content);
        } catch (RuntimeException | Error e) {
            Logger.error(e, "datagram handler failed: peer={}", from);
        }
    }
}
