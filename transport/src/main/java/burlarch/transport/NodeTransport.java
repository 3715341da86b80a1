package burlarch.transport;

import burlarch.transport.TcpPeerConnection.Direction;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Manages the TCP connections of one node: accepts connections of other nodes, and opens and re-establishes its own.
 * Two nodes may have two connections with each other, one opened by each.
 *
 * <p><b>Threads.</b> Every public method may be called by any thread. Changes run on the event loop, which owns all
 * state and calls the listener. Exceptions of the listener are logged; later messages are still delivered.
 *
 * <p>The owner closes the transport; the event loop belongs to the caller and stays open.
 */
public final class NodeTransport implements PeerConnections, AutoCloseable {
    private static final int BUFFER_BYTES = 64 << 10;

    private final SelectorEventLoop loop;
    private final TransportSettings settings;
    private final PeerConnectionListener listener;
    private final FrameCodec codec = new FrameCodec();
    private final byte[] helloFrame;
    private final TcpPeerConnection.SharedResources shared;
    private final KeepAliveMonitor keepAlive;
    private final InboundAcceptor acceptor;
    private final Map<InetSocketAddress, OutboundConnector> connectors = new HashMap<>();
    private final AtomicLong rejectedFrames = new AtomicLong();
    private boolean closed;

    /** Creates a transport with {@link TransportSettings#DEFAULTS}, which starts listening immediately. */
    public NodeTransport(
            SelectorEventLoop loop,
            NodeMessage.Hello ownHello,
            InetSocketAddress listen,
            PeerConnectionListener listener)
            throws IOException {
        this(loop, ownHello, listen, listener, TransportSettings.DEFAULTS);
    }

    /**
     * Creates a transport, which starts listening immediately.
     *
     * @param ownHello the first message sent on each connection
     * @param listen local address to listen on
     * @throws IOException if the address cannot be bound
     */
    public NodeTransport(
            SelectorEventLoop loop,
            NodeMessage.Hello ownHello,
            InetSocketAddress listen,
            PeerConnectionListener listener,
            TransportSettings settings)
            throws IOException {
        this.loop = loop;
        this.settings = settings;
        this.listener = listener;
        helloFrame = codec.encode(ownHello);
        shared = new TcpPeerConnection.SharedResources(
                loop,
                codec,
                settings,
                ByteBuffer.allocate(BUFFER_BYTES),
                ByteBuffer.allocateDirect(BUFFER_BYTES),
                codec.encode(new NodeMessage.Ping()));
        keepAlive = new KeepAliveMonitor(loop, settings);
        acceptor = new InboundAcceptor(loop, listen, settings.maxInboundConnections(), this::openInbound);
        acceptor.start();
    }

    /** Returns the listening address. */
    public InetSocketAddress listenAddress() {
        return acceptor.address();
    }

    @Override
    public FrameCodec codec() {
        return codec;
    }

    /** Returns the number of connections closed because of a malformed, unknown, late or repeated frame. */
    public long rejectedFrames() {
        return rejectedFrames.get();
    }

    @Override
    public void connect(InetSocketAddress target) {
        loop.execute(() -> {
            if (!closed && !connectors.containsKey(target)) {
                OutboundConnector connector =
                        new OutboundConnector(loop, settings, target, channel -> openOutbound(channel, target));
                connectors.put(target, connector);
                connector.start();
            }
        });
    }

    @Override
    public void disconnect(InetSocketAddress target) {
        loop.execute(() -> {
            OutboundConnector connector = connectors.remove(target);
            if (connector != null) {
                connector.stop();
            }
        });
    }

    /** Closes every connection, stops reconnecting and stops listening. */
    @Override
    public void close() {
        loop.execute(() -> {
            closed = true;
            acceptor.close();
            connectors.values().forEach(OutboundConnector::stop);
            connectors.clear();
            new ArrayList<>(keepAlive.connections()).forEach(TcpPeerConnection::close);
        });
    }

    private boolean openInbound(SocketChannel channel) {
        try {
            open(channel, Direction.INBOUND, new InboundEventHandler());
            return true;
        } catch (IOException e) {
            // The peer has already disconnected; accepting continues.
            Logger.debug(e, "inbound connection lost before its start: address={}", listenAddress());
            return false;
        }
    }

    private TcpPeerConnection openOutbound(SocketChannel channel, InetSocketAddress target) throws IOException {
        return open(channel, Direction.OUTBOUND, new OutboundEventHandler(target));
    }

    /** Takes ownership of the channel; closes it if the connection cannot be started. */
    private TcpPeerConnection open(SocketChannel channel, Direction direction, TcpPeerConnection.Owner eventHandler)
            throws IOException {
        try {
            channel.configureBlocking(false);
            TcpPeerConnection connection = new TcpPeerConnection(shared, channel, direction, eventHandler);
            connection.start(helloFrame);
            keepAlive.add(connection);
            return connection;
        } catch (IOException e) {
            QuietCloser.close(channel);
            throw e;
        }
    }

    /** Handles the events of one connection. */
    private abstract class ConnectionEventHandler implements TcpPeerConnection.Owner {
        @Override
        public void connected(TcpPeerConnection connection) {
            try {
                listener.onConnected(connection);
            } catch (RuntimeException | Error e) {
                logFailure(connection, e);
            }
        }

        @Override
        public void received(TcpPeerConnection connection, NodeMessage message) {
            try {
                listener.onMessage(connection, message);
            } catch (RuntimeException | Error e) {
                logFailure(connection, e);
            }
        }

        @Override
        public void frameRejected(TcpPeerConnection connection, FrameException reason) {
            Logger.warn(
                    "connection closed, frame rejected: peer={} rejectedFrames={} error={}",
                    connection.remoteAddress(),
                    rejectedFrames.incrementAndGet(),
                    reason.getMessage());
        }

        @Override
        public void closed(TcpPeerConnection connection) {
            keepAlive.remove(connection);
            release(connection);
            if (connection.peerHello() != null) {
                loop.execute(() -> listener.onDisconnected(connection));
            }
        }

        /** Notifies the object that opened the connection (acceptor or connector) that it is closed. */
        abstract void release(TcpPeerConnection connection);

        /** Logs an exception of the listener, which must not prevent the delivery of later frames. */
        private void logFailure(TcpPeerConnection connection, Throwable failure) {
            Logger.error(failure, "message handler failed: peer={}", connection.remoteAddress());
        }
    }

    private final class InboundEventHandler extends ConnectionEventHandler {
        @Override
        void release(TcpPeerConnection connection) {
            acceptor.onConnectionClosed();
        }
    }

    private final class OutboundEventHandler extends ConnectionEventHandler {
        private final InetSocketAddress target;

        OutboundEventHandler(InetSocketAddress target) {
            this.target = target;
        }

        @Override
        public void connected(TcpPeerConnection connection) {
            OutboundConnector connector = connectors.get(target);
            if (connector != null && connector.owns(connection)) {
                connector.onHandshakeCompleted();
            }
            super.connected(connection);
        }

        /**
         * Ignores a connection that the address's connector does not own: after a disconnect and a new connect, the
         * address has another connector.
         */
        @Override
        void release(TcpPeerConnection connection) {
            OutboundConnector connector = connectors.get(target);
            if (connector != null && connector.owns(connection)) {
                connector.onConnectionClosed();
            }
        }
    }
}
