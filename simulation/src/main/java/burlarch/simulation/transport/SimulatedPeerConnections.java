package burlarch.simulation.transport;

import burlarch.simulation.NodeContext;
import burlarch.simulation.Simulation;
import burlarch.transport.FrameCodec;
import burlarch.transport.FrameException;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnectionListener;
import burlarch.transport.PeerConnections;
import burlarch.transport.TransportSettings;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Simulated {@link PeerConnections} of one process. Opens, retries and closes connections by the rules of the
 * production {@code NodeTransport}, with the same settings.
 *
 * <p>Runs on the event loop of its process and calls the listener there.
 */
public final class SimulatedPeerConnections implements PeerConnections {
    private static final FrameCodec CODEC = new FrameCodec();
    private static final int FRAME_HEADER_BYTES = 4;
    private static final long SWEEP_INTERVAL_NANOS = 100 * Simulation.MILLISECOND;

    /** Requested connection to an address, with its current connection or connection attempt. */
    private static final class OutgoingConnection {
        private final String address;
        private long key;
        private SimulatedPeerConnection connection;
        private long backoffNanos;
        /** Number of the latest attempt; timers of earlier attempts are stale and ignored. */
        private long attempt;

        OutgoingConnection(String address, long backoffNanos) {
            this.address = address;
            this.backoffNanos = backoffNanos;
        }
    }

    private final NodeContext context;
    private final SimulatedEventLoop loop;
    private final NodeMessage.Hello hello;
    private final PeerConnectionListener listener;
    private final Consumer<Throwable> failures;
    private final TransportSettings settings = TransportSettings.DEFAULTS;
    private final Map<String, OutgoingConnection> outgoingByAddress = new LinkedHashMap<>();
    private final Map<Long, SimulatedPeerConnection> connectionsByKey = new LinkedHashMap<>();
    private long lastSweepNanos;
    private long heardFloorNanos;

    /**
     * Creates an object without connections and starts its periodic maintenance.
     *
     * @param hello first message sent on every connection
     * @param failures called with exceptions that the listener throws and with decoding errors
     */
    public SimulatedPeerConnections(
            NodeContext context,
            SimulatedEventLoop loop,
            NodeMessage.Hello hello,
            PeerConnectionListener listener,
            Consumer<Throwable> failures) {
        this.context = context;
        this.loop = loop;
        this.hello = hello;
        this.listener = listener;
        this.failures = failures;
        lastSweepNanos = loop.nanoTime();
        heardFloorNanos = lastSweepNanos - settings.idleTimeoutNanos();
        loop.schedule(SWEEP_INTERVAL_NANOS, this::sweep);
    }

    @Override
    public FrameCodec codec() {
        return CODEC;
    }

    @Override
    public void connect(InetSocketAddress target) {
        String address = addressOf(target);
        onLoop(() -> {
            if (!outgoingByAddress.containsKey(address)) {
                OutgoingConnection outgoing = new OutgoingConnection(address, settings.minBackoffNanos());
                outgoingByAddress.put(address, outgoing);
                attempt(outgoing);
            }
        });
    }

    @Override
    public void disconnect(InetSocketAddress target) {
        String address = addressOf(target);
        onLoop(() -> {
            OutgoingConnection outgoing = outgoingByAddress.remove(address);
            if (outgoing != null) {
                outgoing.attempt++;
                if (outgoing.connection != null) {
                    close(outgoing.connection);
                }
            }
        });
    }

    private static String addressOf(InetSocketAddress target) {
        return target.getHostString() + ":" + target.getPort();
    }

    private void attempt(OutgoingConnection outgoing) {
        outgoing.key = connectionKey(context.random().nextLong(), Packet.Side.DIALER);
        long attempt = ++outgoing.attempt;
        transmit(outgoing.address, controlPacket(Packet.Kind.OPEN, outgoing.key, Packet.Side.LISTENER));
        loop.schedule(settings.connectTimeoutNanos(), () -> {
            if (outgoing.connection == null && outgoing.attempt == attempt) {
                retry(outgoing);
            }
        });
    }

    /** Retries after a random delay of 0.5 to 1 times the current backoff, which then doubles up to its maximum. */
    private void retry(OutgoingConnection outgoing) {
        long attempt = ++outgoing.attempt;
        long halfBackoffNanos = outgoing.backoffNanos / 2;
        outgoing.backoffNanos = Math.min(2 * outgoing.backoffNanos, settings.maxBackoffNanos());
        loop.schedule(halfBackoffNanos + context.random().nextInt((int) halfBackoffNanos + 1), () -> {
            if (outgoing.attempt == attempt) {
                attempt(outgoing);
            }
        });
    }

    /** Returns the key of one end of a connection. Its lowest bit is the side, so that a node can connect to itself. */
    private static long connectionKey(long connectionId, Packet.Side side) {
        return connectionId & ~1L | (side == Packet.Side.DIALER ? 1 : 0);
    }

    private static Packet controlPacket(Packet.Kind kind, long connectionId, Packet.Side receiver) {
        return new Packet(kind, connectionId, receiver, 0, null);
    }

    /** Handles a packet from the network. */
    public void onPacket(String from, Object received) {
        Packet packet = (Packet) received;
        long key = connectionKey(packet.connectionId(), packet.receiver());
        SimulatedPeerConnection connection = connectionsByKey.get(key);
        if (packet.kind() == Packet.Kind.OPEN) {
            if (connection == null) {
                openConnection(key, from, Packet.Side.LISTENER);
            }
            transmit(from, controlPacket(Packet.Kind.OPENED, packet.connectionId(), Packet.Side.DIALER));
        } else if (packet.kind() == Packet.Kind.RESET) {
            if (connection != null) {
                close(connection);
            }
        } else if (connection != null || packet.receiver() == Packet.Side.DIALER && completesAttempt(from, key)) {
            connectionsByKey.get(key).onPacket(packet);
        } else {
            transmit(
                    from,
                    controlPacket(
                            Packet.Kind.RESET,
                            packet.connectionId(),
                            packet.receiver().other()));
        }
    }

    /**
     * Opens the connection of a pending attempt if the packet belongs to it. Any packet from the other side is
     * accepted, because the first message may arrive before {@link Packet.Kind#OPENED}.
     */
    private boolean completesAttempt(String from, long key) {
        OutgoingConnection outgoing = outgoingByAddress.get(from);
        boolean pending = outgoing != null && outgoing.connection == null && outgoing.key == key;
        if (pending) {
            outgoing.attempt++;
            outgoing.connection = openConnection(key, from, Packet.Side.DIALER);
        }
        return pending;
    }

    private SimulatedPeerConnection openConnection(long key, String remote, Packet.Side side) {
        SimulatedPeerConnection connection = new SimulatedPeerConnection(this, key, remote, side, now());
        connectionsByKey.put(key, connection);
        connection.send(hello);
        return connection;
    }

    /**
     * Delivers a message or an encoded frame to the listener. As in production, the first message must be a Hello,
     * which completes the handshake; any other first message closes the connection.
     */
    void deliver(SimulatedPeerConnection connection, Object body) {
        try {
            NodeMessage message = body instanceof byte[] frame ? decode(frame) : (NodeMessage) body;
            if (message instanceof NodeMessage.Hello peer) {
                onHello(connection, peer);
            } else if (connection.peerHello() == null) {
                close(connection);
            } else if (!(message instanceof NodeMessage.Ping)) {
                connection.receivedOrder().accept(message);
                listener.onMessage(connection, message);
            }
        } catch (RuntimeException | FrameException e) {
            failures.accept(e);
        }
    }

    private void onHello(SimulatedPeerConnection connection, NodeMessage.Hello peer) {
        connection.setPeer(peer);
        OutgoingConnection outgoing = outgoingByAddress.get(connection.remote());
        if (outgoing != null && outgoing.connection == connection) {
            outgoing.backoffNanos = settings.minBackoffNanos();
        }
        listener.onConnected(connection);
    }

    private static NodeMessage decode(byte[] frame) throws FrameException {
        return CODEC.decode(frame, FRAME_HEADER_BYTES, frame.length - FRAME_HEADER_BYTES);
    }

    /** Closes a connection on both sides; an outgoing connection is then retried. */
    void close(SimulatedPeerConnection connection) {
        if (!connection.isOpen()) {
            return;
        }
        connection.sendReset();
        connection.setClosed();
        connectionsByKey.remove(connection.key());
        OutgoingConnection outgoing = outgoingByAddress.get(connection.remote());
        if (outgoing != null && outgoing.connection == connection) {
            outgoing.connection = null;
            retry(outgoing);
        }
        if (connection.peerHello() != null) {
            loop.execute(() -> listener.onDisconnected(connection));
        }
    }

    private void sweep() {
        loop.schedule(SWEEP_INTERVAL_NANOS, this::sweep);
        long now = now();
        if (now - lastSweepNanos > settings.idleTimeoutNanos() / 2) {
            // This process was frozen: messages that peers sent meanwhile may still be unread, so the peers must not
            // be considered silent.
            heardFloorNanos = now - settings.idleTimeoutNanos() / 2;
        }
        lastSweepNanos = now;
        for (SimulatedPeerConnection connection : List.copyOf(connectionsByKey.values())) {
            if (connection.isOpen()) {
                connection.onSweep(heardFloorNanos);
            }
        }
    }

    /** Injects a fault: closes each connection with the given probability. */
    public void closeRandomly(double probability) {
        for (SimulatedPeerConnection connection : List.copyOf(connectionsByKey.values())) {
            if (context.random().nextDouble() < probability) {
                close(connection);
            }
        }
    }

    /** Handles a kill of the process: the kernel of its machine resets all connections. */
    public void onProcessKilled() {
        new ArrayList<>(connectionsByKey.values()).forEach(SimulatedPeerConnection::sendReset);
    }

    /** Runs a task on the event loop: immediately if the caller is on the loop, otherwise as a submitted task. */
    void onLoop(Runnable task) {
        if (loop.isOnOtherThread()) {
            loop.execute(task);
        } else {
            task.run();
        }
    }

    long now() {
        return loop.nanoTime();
    }

    TransportSettings settings() {
        return settings;
    }

    void transmit(String address, Packet packet) {
        context.send(address, packet);
    }
}
