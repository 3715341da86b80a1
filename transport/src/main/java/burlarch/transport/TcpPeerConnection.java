package burlarch.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.tinylog.Logger;

/**
 * A TCP connection to another node. Lives on the loop. What is sent in one turn of the loop leaves together
 * at its end. Closed for good once: nothing is received or sent afterwards.
 */
public final class TcpPeerConnection implements PeerConnection {
    /** What a connection tells its owner, always on the loop. */
    interface Owner {
        void opened(TcpPeerConnection connection);

        void received(TcpPeerConnection connection, NodeMessage message);

        void garbled(TcpPeerConnection connection, FrameException reason);

        /** Exactly once, from within the call that closed it. */
        void closed(TcpPeerConnection connection);
    }

    /** What all connections of one transport share. */
    record Shared(
            SelectorEventLoop loop,
            FrameCodec codec,
            TransportSettings settings,
            ByteBuffer input,
            ByteBuffer output,
            byte[] pingFrame) {}

    private final Shared shared;
    private final SocketChannel channel;
    private final InetSocketAddress remote;
    private final boolean outgoing;
    private final Owner owner;
    private final FrameReader reader;
    private final MessageOrderValidator order = new MessageOrderValidator();
    private final OutboundFrameQueue queue;
    private final long openedAt;
    private SelectionKey key;
    private NodeMessage.Hello peer;
    private boolean flushPlanned;
    private boolean closed;
    private long lastSent;
    private long lastReceived;

    /** @param channel connected and not blocking */
    TcpPeerConnection(Shared shared, SocketChannel channel, boolean outgoing, Owner owner) throws IOException {
        this.shared = shared;
        this.channel = channel;
        this.outgoing = outgoing;
        this.owner = owner;
        remote = (InetSocketAddress) channel.getRemoteAddress();
        reader = new FrameReader(shared.codec());
        queue = new OutboundFrameQueue(shared.settings().maxQueuedBytes());
        openedAt = shared.loop().nanoTime();
        lastSent = openedAt;
        lastReceived = openedAt;
    }

    /** @param helloFrame what is said first */
    void start(byte[] helloFrame) throws IOException {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        key = shared.loop().register(channel, SelectionKey.OP_READ, this::ready);
        sendFrame(helloFrame);
    }

    /** What the other side said of itself; null before {@code onUp}. */
    @Override
    public NodeMessage.Hello peerHello() {
        return peer;
    }

    /** Whether this side asked for the connection. */
    @Override
    public boolean isOutbound() {
        return outgoing;
    }

    /** The other end; where it asked for the connection, not an address that it listens on. */
    public InetSocketAddress remoteAddress() {
        return remote;
    }

    public boolean isOpen() {
        return !closed;
    }

    /** Sends a message; from any thread. Dropped on a closed connection; too much unsent closes it. */
    @Override
    public void send(NodeMessage message) {
        sendFrame(shared.codec().encode(message));
    }

    /** Sends what {@link FrameCodec#encode} made, so that one message to many is encoded once. */
    @Override
    public void sendFrame(byte[] frame) {
        if (shared.loop().inEventLoop()) {
            enqueue(frame);
        } else {
            shared.loop().execute(() -> enqueue(frame));
        }
    }

    /** Closes the connection; from any thread. What the socket does not take at once is lost. */
    public void close() {
        if (shared.loop().inEventLoop()) {
            flushAndClose();
        } else {
            shared.loop().execute(this::flushAndClose);
        }
    }

    private void flushAndClose() {
        if (!queue.isEmpty()) {
            flush();
        }
        closeNow();
    }

    private void enqueue(byte[] frame) {
        if (closed) {
            return;
        }
        if (!queue.add(frame)) {
            Logger.warn("Too much unsent to {}, closed", remote);
            closeNow();
            return;
        }
        lastSent = shared.loop().nanoTime();
        if (!flushPlanned) {
            flushPlanned = true;
            shared.loop().executeAtTurnEnd(this::flush);
        }
    }

    private void flush() {
        flushPlanned = false;
        if (closed) {
            return;
        }
        try {
            queue.writeTo(channel, shared.output());
            int wanted = SelectionKey.OP_READ | (queue.isEmpty() ? 0 : SelectionKey.OP_WRITE);
            if (key.interestOps() != wanted) {
                key.interestOps(wanted);
            }
        } catch (IOException e) {
            closeNow();
        }
    }

    private void ready(SelectionKey ready) {
        if (ready.isReadable()) {
            read();
        }
        if (!closed && ready.isWritable()) {
            flush();
        }
    }

    private void read() {
        ByteBuffer input = shared.input();
        input.clear();
        try {
            if (channel.read(input) < 0) {
                closeNow();
                return;
            }
        } catch (IOException e) {
            closeNow();
            return;
        }
        lastReceived = shared.loop().nanoTime();
        input.flip();
        try {
            takeMessages(input);
        } catch (FrameException e) {
            owner.garbled(this, e);
            closeNow();
        }
    }

    private void takeMessages(ByteBuffer input) throws FrameException {
        NodeMessage message = reader.next(input);
        while (message != null) {
            take(message);
            if (closed) {
                return;
            }
            message = reader.next(input);
        }
    }

    private void take(NodeMessage message) throws FrameException {
        if (peer != null) {
            order.accept(message);
            if (!(message instanceof NodeMessage.Ping)) {
                owner.received(this, message);
            }
        } else if (message instanceof NodeMessage.Hello hello) {
            peer = hello;
            reader.allowLargeFrames();
            owner.opened(this);
        } else {
            throw new FrameException("a message before Hello");
        }
    }

    private void closeNow() {
        if (!closed) {
            closed = true;
            SelectorEventLoop.closeQuietly(channel);
            owner.closed(this);
        }
    }

    /**
     * Sends a Ping where one is due within the slack, gives the connection up where it was silent too long.
     *
     * @param heardFloor the connection counts as heard of then at the least
     * @return when to look again; of no meaning once it is closed
     */
    long keepAlive(long now, long slack, long heardFloor) {
        TransportSettings settings = shared.settings();
        long heard = lastReceived - heardFloor > 0 ? lastReceived : heardFloor;
        long giveUp = heard + settings.idleTimeoutNanos();
        if (peer == null && openedAt + settings.handshakeTimeoutNanos() - giveUp < 0) {
            giveUp = openedAt + settings.handshakeTimeoutNanos();
        }
        if (giveUp - now <= 0) {
            Logger.info("Nothing heard from {}, closed", remote);
            closeNow();
            return now;
        }
        if (lastSent + settings.pingIntervalNanos() - now <= slack && queue.isEmpty()) {
            enqueue(shared.pingFrame());
        }
        long ping = lastSent + settings.pingIntervalNanos();
        if (ping - now <= slack) {
            // Bytes still wait to be sent: a Ping behind them would say nothing more.
            ping = now + settings.pingIntervalNanos();
        }
        return ping - giveUp < 0 ? ping : giveUp;
    }
}
