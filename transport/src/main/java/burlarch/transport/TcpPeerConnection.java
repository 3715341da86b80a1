package burlarch.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.tinylog.Logger;

/**
 * A TCP connection to another node, with the states of {@link ConnectionState}.
 *
 * <p>Frames that are sent in one turn of the event loop are written together at the end of the turn. The connection is
 * closed if the peer reads so slowly that the queue of unsent frames exceeds its limit. The first invalid frame closes
 * the connection, since the rest of the stream cannot be trusted.
 *
 * <p><b>Threads.</b> The event loop owns the connection and its channel. {@link #send}, {@link #sendFrame},
 * {@link #close}, {@link #remoteAddress} and {@link #isOutbound} may be called by any thread, all other methods only
 * on the loop.
 */
public final class TcpPeerConnection implements PeerConnection {
    /** The side that opened a connection, as seen from this node. */
    enum Direction {
        INBOUND,
        OUTBOUND
    }

    /** Receives the events of a connection, on the loop. */
    interface Owner {
        /** Called when the peer's Hello was received. */
        void connected(TcpPeerConnection connection);

        /** Called for each received message other than Hello and Ping. */
        void received(TcpPeerConnection connection, NodeMessage message);

        /** Called for an invalid frame; the connection is closed immediately after this call. */
        void frameRejected(TcpPeerConnection connection, FrameException reason);

        /** Called exactly once when the connection was closed, inside the call that closed it. */
        void closed(TcpPeerConnection connection);
    }

    /**
     * Resources shared by all connections of one transport. The loop handles one connection at a time, so one pair of
     * buffers serves all of them; the buffers hold no data between calls.
     */
    record SharedResources(
            SelectorEventLoop loop,
            FrameCodec codec,
            TransportSettings settings,
            ByteBuffer inputBuffer,
            ByteBuffer outputBuffer,
            byte[] pingFrame) {}

    private final SharedResources shared;
    private final SelectorEventLoop loop;
    private final SocketChannel channel;
    private final InetSocketAddress remoteAddress;
    private final Direction direction;
    private final Owner owner;
    private final FrameReader reader;
    private final MessageOrderValidator orderValidator = new MessageOrderValidator();
    private final OutboundFrameQueue outboundFrames;
    private final ConnectionLiveness liveness;
    private ConnectionState state = ConnectionState.HANDSHAKING;
    private SelectionKey key;
    private NodeMessage.Hello peerHello;
    private boolean flushScheduled;

    /** Takes ownership of a connected non-blocking channel; {@link #start} must be called next. */
    TcpPeerConnection(SharedResources shared, SocketChannel channel, Direction direction, Owner owner)
            throws IOException {
        this.shared = shared;
        this.channel = channel;
        this.direction = direction;
        this.owner = owner;
        loop = shared.loop();
        remoteAddress = (InetSocketAddress) channel.getRemoteAddress();
        reader = new FrameReader(shared.codec());
        outboundFrames = new OutboundFrameQueue(shared.settings().maxQueuedBytes());
        liveness = new ConnectionLiveness(shared.settings(), pingIntervalNanos(), loop.nanoTime());
    }

    /**
     * Returns the interval after which this side pings. The side that opened the connection pings, and the other side
     * responds; a node with many outbound connections then wakes once for the responses to all of its pings. The other
     * side waits twice as long, so that it pings on its own only if no ping arrives.
     */
    private long pingIntervalNanos() {
        long interval = shared.settings().pingIntervalNanos();
        return direction == Direction.OUTBOUND ? interval : 2 * interval;
    }

    /** Starts reading and sends this node's Hello. */
    void start(byte[] helloFrame) throws IOException {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        key = loop.register(channel, SelectionKey.OP_READ, this::onReady);
        sendFrame(helloFrame);
    }

    @Override
    public NodeMessage.Hello peerHello() {
        return peerHello;
    }

    @Override
    public boolean isOutbound() {
        return direction == Direction.OUTBOUND;
    }

    /**
     * Returns the remote address of the socket; for an inbound connection, this is not the peer's listening address.
     */
    public InetSocketAddress remoteAddress() {
        return remoteAddress;
    }

    /** Returns whether the connection is not closed. */
    public boolean isOpen() {
        return state != ConnectionState.CLOSED;
    }

    @Override
    public void send(NodeMessage message) {
        sendFrame(shared.codec().encode(message));
    }

    @Override
    public void sendFrame(byte[] frame) {
        if (loop.inEventLoop()) {
            enqueue(frame);
        } else {
            loop.execute(() -> enqueue(frame));
        }
    }

    /** Closes the connection. Any thread. Queued frames that the socket does not accept immediately are lost. */
    public void close() {
        if (loop.inEventLoop()) {
            flushAndClose();
        } else {
            loop.execute(this::flushAndClose);
        }
    }

    private void flushAndClose() {
        if (!outboundFrames.isEmpty()) {
            flush();
        }
        closeNow();
    }

    private void enqueue(byte[] frame) {
        if (!isOpen()) {
            return;
        }
        if (!outboundFrames.add(frame)) {
            Logger.warn("connection closed, too many unsent bytes: peer={}", remoteAddress);
            closeNow();
            return;
        }
        liveness.onSent(loop.nanoTime());
        if (!flushScheduled) {
            flushScheduled = true;
            loop.executeAtTurnEnd(this::flush);
        }
    }

    private void flush() {
        flushScheduled = false;
        if (!isOpen()) {
            return;
        }
        try {
            outboundFrames.writeTo(channel, shared.outputBuffer());
            updateInterest();
        } catch (IOException e) {
            closeNow();
        }
    }

    /** Registers interest in writing only while frames are queued; otherwise the selector would never sleep. */
    private void updateInterest() {
        int operations = SelectionKey.OP_READ | (outboundFrames.isEmpty() ? 0 : SelectionKey.OP_WRITE);
        if (key.interestOps() != operations) {
            key.interestOps(operations);
        }
    }

    private void onReady(SelectionKey readyKey) {
        if (readyKey.isReadable()) {
            read();
        }
        if (isOpen() && readyKey.isWritable()) {
            flush();
        }
    }

    private void read() {
        ByteBuffer input = shared.inputBuffer();
        input.clear();
        if (!readInto(input)) {
            closeNow();
            return;
        }
        liveness.onReceived(loop.nanoTime());
        input.flip();
        try {
            handleMessages(input);
        } catch (FrameException e) {
            owner.frameRejected(this, e);
            closeNow();
        }
    }

    /** Returns false if the peer closed the connection or reading failed. */
    private boolean readInto(ByteBuffer input) {
        try {
            return channel.read(input) >= 0;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Handles all complete messages in the input; stops if a handler closes the connection, since nothing is received
     * on a closed one.
     */
    private void handleMessages(ByteBuffer input) throws FrameException {
        NodeMessage message = reader.next(input);
        while (message != null) {
            handle(message);
            if (!isOpen()) {
                return;
            }
            message = reader.next(input);
        }
    }

    private void handle(NodeMessage message) throws FrameException {
        if (state == ConnectionState.HANDSHAKING) {
            completeHandshake(message);
            return;
        }
        orderValidator.accept(message);
        if (message instanceof NodeMessage.Ping) {
            respondToPing();
        } else {
            owner.received(this, message);
        }
    }

    private void respondToPing() {
        if (direction == Direction.INBOUND && liveness.shouldAnswerPing(loop.nanoTime())) {
            enqueue(shared.pingFrame());
        }
    }

    private void completeHandshake(NodeMessage message) throws FrameException {
        if (!(message instanceof NodeMessage.Hello hello)) {
            throw new FrameException("message received before Hello");
        }
        state = state.after(ConnectionState.Event.HELLO_RECEIVED);
        peerHello = hello;
        reader.allowLargeFrames();
        owner.connected(this);
    }

    private void closeNow() {
        if (isOpen()) {
            state = state.after(ConnectionState.Event.CLOSED);
            QuietCloser.close(channel);
            owner.closed(this);
        }
    }

    /**
     * Sends a ping if one is due, and closes the connection if nothing was received for too long.
     *
     * @param slackNanos a ping that is due within this time is sent immediately
     * @param receivedFloorNanos lower bound of the time at which bytes were last received
     * @return the time of the next check; meaningless if the connection is closed
     */
    long checkLiveness(long nowNanos, long slackNanos, long receivedFloorNanos) {
        long timeoutAtNanos = peerHello == null
                ? liveness.handshakeTimeoutAtNanos(receivedFloorNanos)
                : liveness.idleTimeoutAtNanos(receivedFloorNanos);
        if (timeoutAtNanos - nowNanos <= 0) {
            Logger.info("connection closed, nothing received in time: peer={}", remoteAddress);
            closeNow();
            return nowNanos;
        }
        if (liveness.pingDueNanos() - nowNanos <= slackNanos && outboundFrames.isEmpty()) {
            enqueue(shared.pingFrame());
        }
        long nextPingNanos = liveness.pingDueNanos();
        if (nextPingNanos - nowNanos <= slackNanos) {
            // Frames are still queued; a ping behind them would give the peer no more information.
            nextPingNanos = nowNanos + shared.settings().pingIntervalNanos();
        }
        return ConnectionLiveness.earlier(nextPingNanos, timeoutAtNanos);
    }
}
