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
 * The TCP connections of one node: accepts those of other nodes and keeps those that this node opens. Two nodes may
 * have two connections with each other, one opened by each.
 *
 * <p><b>Threads.</b> Every public method may be called by any thread; changes are handed to the event loop, which
 * owns all state and calls the listener. What the listener throws is logged; later messages are still delivered.
 *
 * <p>The owner closes the transport; the event loop, which is the caller's, stays open.
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

    /** Listens at once, with {@link TransportSettings#DEFAULTS}. */
    public NodeTransport(
            SelectorEventLoop loop,
            NodeMessage.Hello ownHello,
            InetSocketAddress listen,
            PeerConnectionListener listener)
            throws IOException {
        this(loop, ownHello, listen, listener, TransportSettings.DEFAULTS);
    }

    /**
     * Listens at once.
     *
     * @param ownHello sent first on each connection
     * @param listen address of this machine
     * @throws IOException if the address cannot be listened on
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

    /** Returns the address that is listened on. */
    public InetSocketAddress listenAddress() {
        return acceptor.address();
    }

    @Override
    public FrameCodec codec() {
        return codec;
    }

    /** Returns how many connections were closed for a frame that is malformed, of unknown type, late or repeated. */
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

    /** Closes every connection, opens no more and stops listening. */
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
            open(channel, Direction.INBOUND, new InboundEvents());
            return true;
        } catch (IOException e) {
            // The peer has gone already, which is no reason to stop accepting.
            Logger.debug(e, "inbound connection lost before its start: address={}", listenAddress());
            return false;
        }
    }

    private TcpPeerConnection openOutbound(SocketChannel channel, InetSocketAddress target) throws IOException {
        return open(channel, Direction.OUTBOUND, new OutboundEvents(target));
    }

    /** Takes over the channel; closes it if the connection cannot be started. */
    private TcpPeerConnection open(SocketChannel channel, Direction direction, TcpPeerConnection.Owner events)
            throws IOException {
        try {
            channel.configureBlocking(false);
            TcpPeerConnection connection = new TcpPeerConnection(shared, channel, direction, events);
            connection.start(helloFrame);
            keepAlive.add(connection);
            return connection;
        } catch (IOException e) {
            QuietCloser.close(channel);
            throw e;
        }
    }

    /** What follows from the events of one connection. */
    private abstract class ConnectionEvents implements TcpPeerConnection.Owner {
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

        /** Tells the part that opened the connection (acceptor or connector) that it is closed. */
        abstract void release(TcpPeerConnection connection);

        /** What the listener throws must not lose the frames behind this one. */
        private void logFailure(TcpPeerConnection connection, Throwable failure) {
            Logger.error(failure, "message handler failed: peer={}", connection.remoteAddress());
        }
    }

    private final class InboundEvents extends ConnectionEvents {
        @Override
        void release(TcpPeerConnection connection) {
            acceptor.onConnectionClosed();
        }
    }

    private final class OutboundEvents extends ConnectionEvents {
        private final InetSocketAddress target;

        OutboundEvents(InetSocketAddress target) {
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

        /** After a disconnect and a new connect the address may have another connector, which must not be disturbed. */
        @Override
        void release(TcpPeerConnection connection) {
            OutboundConnector connector = connectors.get(target);
            if (connector != null && connector.owns(connection)) {
                connector.onConnectionClosed();
            }
        }
    }
}
