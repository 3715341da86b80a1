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
 * Sends and receives small datagrams on one bound address. Delivery is not guaranteed; a datagram that cannot be sent
 * is dropped and counted.
 *
 * <p><b>Threads.</b> {@link #send}, {@link #close}, {@link #address} and {@link #droppedDatagrams} may be called by
 * any thread; the receiver is called on the event loop. Its exceptions are logged; later datagrams are still
 * delivered.
 *
 * <p>The owner closes the endpoint; the event loop stays open.
 */
public final class DatagramEndpoint implements AutoCloseable {
    /** Maximum datagram size; fits in one packet of any common network. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;

    /** Limits the datagrams received per turn of the event loop, so that many datagrams do not starve connections. */
    private static final int MAX_DATAGRAMS_PER_TURN = 64;

    private final SelectorEventLoop loop;
    private final Receiver receiver;
    private final DatagramChannel channel;
    private final InetSocketAddress address;
    /** One byte longer than the maximum datagram, so that a larger one is detected. Owned by the event loop. */
    private final ByteBuffer inputBuffer = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES + 1);

    private final AtomicLong droppedDatagrams = new AtomicLong();

    /** Handles received datagrams, on the event loop. */
    public interface Receiver {
        /** Called for each datagram; the receiver owns the array. */
        void onDatagram(InetSocketAddress from, byte[] content);
    }

    /**
     * Binds the address and starts receiving.
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
     * Returns the number of datagrams that could not be sent, or were larger than {@link #MAX_DATAGRAM_BYTES} in
     * either direction.
     */
    public long droppedDatagrams() {
        return droppedDatagrams.get();
    }

    /** Sends a datagram immediately, or drops it. */
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
            // A full buffer, no route or a closed channel; membership tolerates lost datagrams.
            droppedDatagrams.incrementAndGet();
        }
    }

    /** Stops sending and receiving. */
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
        for (int remaining = MAX_DATAGRAMS_PER_TURN; remaining > 0 && channel.isOpen(); remaining--) {
            inputBuffer.clear();
            InetSocketAddress from;
            try {
                from = (InetSocketAddress) channel.receive(inputBuffer);
            } catch (IOException e) {
                Logger.debug(e, "receive failed: address={}", address);
                return;
            }
            if (from == null) {
                return;
            }
            inputBuffer.flip();
            deliver(from);
        }
    }

    private void deliver(InetSocketAddress from) {
        if (inputBuffer.remaining() > MAX_DATAGRAM_BYTES) {
            droppedDatagrams.incrementAndGet();
            return;
        }
        byte[] content = new byte[inputBuffer.remaining()];
        inputBuffer.get(content);
        try {
            receiver.onDatagram(from, content);
        } catch (RuntimeException | Error e) {
            Logger.error(e, "datagram handler failed: peer={}", from);
        }
    }
}
