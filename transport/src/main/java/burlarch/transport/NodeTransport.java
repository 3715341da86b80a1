package burlarch.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Connections between nodes: takes those of others and keeps those that this node asks for. Two nodes may
 * have two connections with each other, one asked for by each.
 */
public final class NodeTransport implements PeerConnections, AutoCloseable {
    private static final int BACKLOG = 1_024;
    private static final int BUFFER_BYTES = 64 << 10;
    private static final long ACCEPT_PAUSE_NANOS = 100_000_000;

    private final SelectorEventLoop loop;
    private final TransportSettings settings;
    private final Listener listener;
    private final FrameCodec codec = new FrameCodec();
    private final byte[] helloFrame;
    private final TcpPeerConnection.Shared shared;
    private final KeepAliveMonitor keepAlive;
    private final ServerSocketChannel server;
    private final InetSocketAddress address;
    private final Map<InetSocketAddress, OutboundConnector> dialers = new HashMap<>();
    private final AtomicLong garbledFrames = new AtomicLong();
    private int accepted;
    private boolean closed;

    /** Told of everything on the loop. */
    public interface Listener {
        /** The peer has said Hello. */
        void onConnected(TcpPeerConnection connection);

        /** A message other than Hello and Ping. */
        void onMessage(TcpPeerConnection connection, NodeMessage message);

        /** Once for each connection that was up, in a turn of its own after whatever closed it. */
        void onDisconnected(TcpPeerConnection connection);

        /** Passes everything on to a listener that needs only the view of {@link PeerConnection}. */
        static Listener of(PeerConnectionListener listener) {
            return new Listener() {
                @Override
                public void onConnected(TcpPeerConnection connection) {
                    listener.onConnected(connection);
                }

                @Override
                public void onMessage(TcpPeerConnection connection, NodeMessage message) {
                    listener.onMessage(connection, message);
                }

                @Override
                public void onDisconnected(TcpPeerConnection connection) {
                    listener.onDisconnected(connection);
                }
            };
        }
    }

    /** With the default times and bounds. */
    public NodeTransport(SelectorEventLoop loop, NodeMessage.Hello own, InetSocketAddress listen, Listener listener)
            throws IOException {
        this(loop, own, listen, listener, TransportSettings.DEFAULTS);
    }

    /**
     * Listens at once.
     *
     * @param own what is said first on each connection
     * @param listen address of this machine
     * @throws IOException where the address cannot be listened on
     */
    public NodeTransport(
            SelectorEventLoop loop,
            NodeMessage.Hello own,
            InetSocketAddress listen,
            Listener listener,
            TransportSettings settings)
            throws IOException {
        this.loop = loop;
        this.settings = settings;
        this.listener = listener;
        helloFrame = codec.encode(own);
        shared = new TcpPeerConnection.Shared(
                loop,
                codec,
                settings,
                ByteBuffer.allocate(BUFFER_BYTES),
                ByteBuffer.allocateDirect(BUFFER_BYTES),
                codec.encode(new NodeMessage.Ping()));
        keepAlive = new KeepAliveMonitor(loop, settings);
        server = ServerSocketChannel.open(StandardProtocolFamily.INET);
        try {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(listen, BACKLOG);
            address = (InetSocketAddress) server.getLocalAddress();
        } catch (IOException e) {
            server.close();
            throw e;
        }
        loop.execute(this::startAccepting);
    }

    /** Where it listens. */
    public InetSocketAddress listenAddress() {
        return address;
    }

    /** Encodes messages for {@link TcpPeerConnection#sendFrame}. */
    @Override
    public FrameCodec codec() {
        return codec;
    }

    /** How many connections were closed for a frame that is garbled, unknown, late or repeated. */
    public long rejectedFrames() {
        return garbledFrames.get();
    }

    /** Keeps a connection to that address until {@link #disconnect}; from any thread, may be repeated. */
    @Override
    public void connect(InetSocketAddress target) {
        loop.execute(() -> {
            if (!closed && !dialers.containsKey(target)) {
                OutboundConnector dialer =
                        new OutboundConnector(loop, settings, target, channel -> open(channel, true, target));
                dialers.put(target, dialer);
                dialer.start();
            }
        });
    }

    /** Closes the connection that this node asked for, if any, and asks no more; from any thread. */
    @Override
    public void disconnect(InetSocketAddress target) {
        loop.execute(() -> {
            OutboundConnector dialer = dialers.remove(target);
            if (dialer != null) {
                dialer.stop();
            }
        });
    }

    /** Closes all connections and listens no more; from any thread. */
    @Override
    public void close() {
        loop.execute(() -> {
            closed = true;
            SelectorEventLoop.closeQuietly(server);
            dialers.values().forEach(OutboundConnector::stop);
            dialers.clear();
            new ArrayList<>(keepAlive.connections()).forEach(TcpPeerConnection::close);
        });
    }

    private void startAccepting() {
        try {
            loop.register(server, SelectionKey.OP_ACCEPT, this::accept);
        } catch (IOException | RuntimeException e) {
            Logger.error(e, "Cannot accept connections");
        }
    }

    private void accept(SelectionKey key) {
        try {
            SocketChannel channel = server.accept();
            while (channel != null) {
                if (accepted < settings.maxInboundConnections()) {
                    open(channel, false, null);
                } else {
                    SelectorEventLoop.closeQuietly(channel);
                }
                channel = server.accept();
            }
        } catch (IOException e) {
            // Out of descriptors, most likely: trying again at once would only spin.
            Logger.warn("Accepting failed: {}", e.getMessage());
            key.interestOps(0);
            loop.schedule(ACCEPT_PAUSE_NANOS, () -> resumeAccepting(key));
        }
    }

    private static void resumeAccepting(SelectionKey key) {
        if (key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    /** @param target null where the other side asked */
    private TcpPeerConnection open(SocketChannel channel, boolean outgoing, InetSocketAddress target)
            throws IOException {
        TcpPeerConnection connection = null;
        try {
            channel.configureBlocking(false);
            connection = new TcpPeerConnection(shared, channel, outgoing, new Events(target));
            connection.start(helloFrame);
        } catch (IOException e) {
            // The other side may have gone already: no reason to stop accepting.
            SelectorEventLoop.closeQuietly(channel);
            if (outgoing) {
                throw e;
            }
            return null;
        }
        accepted += outgoing ? 0 : 1;
        keepAlive.add(connection);
        return connection;
    }

    /** What follows from the events of one connection. */
    private final class Events implements TcpPeerConnection.Owner {
        private final InetSocketAddress target;

        Events(InetSocketAddress target) {
            this.target = target;
        }

        @Override
        public void opened(TcpPeerConnection connection) {
            OutboundConnector dialer = target == null ? null : dialers.get(target);
            if (dialer != null && dialer.owns(connection)) {
                dialer.opened();
            }
            try {
                listener.onConnected(connection);
            } catch (RuntimeException | Error e) {
                failed(e);
            }
        }

        @Override
        public void received(TcpPeerConnection connection, NodeMessage message) {
            try {
                listener.onMessage(connection, message);
            } catch (RuntimeException | Error e) {
                failed(e);
            }
        }

        @Override
        public void garbled(TcpPeerConnection connection, FrameException reason) {
            Logger.warn(
                    "Connection with {} closed for a bad frame, {} so far: {}",
                    connection.remoteAddress(),
                    garbledFrames.incrementAndGet(),
                    reason.getMessage());
        }

        @Override
        public void closed(TcpPeerConnection connection) {
            keepAlive.remove(connection);
            accepted -= connection.isOutbound() ? 0 : 1;
            OutboundConnector dialer = target == null ? null : dialers.get(target);
            if (dialer != null && dialer.owns(connection)) {
                dialer.closed();
            }
            if (connection.peerHello() != null) {
                loop.execute(() -> listener.onDisconnected(connection));
            }
        }

        /** What the listener throws must not lose the frames behind this one. */
        private void failed(Throwable reason) {
            Logger.error(reason, "Handling a message failed");
        }
    }
}
