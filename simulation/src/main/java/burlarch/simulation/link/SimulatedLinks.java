package burlarch.simulation.link;

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
 * The connections of one process over the simulated network. It opens, retries and closes them by the rules of the
 * real {@code NodeTransport}, with the same settings.
 *
 * <p>Runs on the event loop of its process, which it shares with the listener.
 */
public final class SimulatedLinks implements PeerConnections {
    private static final FrameCodec CODEC = new FrameCodec();
    private static final int FRAME_HEADER_BYTES = 4;
    private static final long SWEEP_INTERVAL_NANOS = 100 * Simulation.MILLISECOND;

    /** The intent to be connected with one address, and the connection or the attempt that serves it. */
    private static final class OutgoingConnection {
        private final String address;
        private long key;
        private SimulatedLink link;
        private long backoffNanos;
        /** Number of the latest attempt; timers of earlier ones are stale. */
        private long attempt;

        OutgoingConnection(String address, long backoffNanos) {
            this.address = address;
            this.backoffNanos = backoffNanos;
        }
    }

    private final NodeContext context;
    private final SimulatedLoop loop;
    private final NodeMessage.Hello hello;
    private final PeerConnectionListener listener;
    private final Consumer<Throwable> failures;
    private final TransportSettings settings = TransportSettings.DEFAULTS;
    private final Map<String, OutgoingConnection> outgoingByAddress = new LinkedHashMap<>();
    private final Map<Long, SimulatedLink> linksByKey = new LinkedHashMap<>();
    private long lastSweepNanos;
    private long heardFloorNanos;

    /**
     * Creates the connections of a process, none at first.
     *
     * @param hello first message on every connection
     * @param failures called with what the listener throws and with frames that can't be decoded
     */
    public SimulatedLinks(
            NodeContext context,
            SimulatedLoop loop,
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
                if (outgoing.link != null) {
                    close(outgoing.link);
                }
            }
        });
    }

    private static String addressOf(InetSocketAddress target) {
        return target.getHostString() + ":" + target.getPort();
    }

    private void attempt(OutgoingConnection outgoing) {
        outgoing.key = linkKey(context.random().nextLong(), Packet.Side.DIALER);
        long attempt = ++outgoing.attempt;
        transmit(outgoing.address, control(Packet.Kind.OPEN, outgoing.key, Packet.Side.LISTENER));
        loop.schedule(settings.connectTimeoutNanos(), () -> {
            if (outgoing.link == null && outgoing.attempt == attempt) {
                retry(outgoing);
            }
        });
    }

    /** Attempts again after a backoff with jitter: a half to a whole of the current backoff, which then doubles. */
    private void retry(OutgoingConnection outgoing) {
        long attempt = ++outgoing.attempt;
        long half = outgoing.backoffNanos / 2;
        outgoing.backoffNanos = Math.min(2 * outgoing.backoffNanos, settings.maxBackoffNanos());
        loop.schedule(half + context.random().nextInt((int) half + 1), () -> {
            if (outgoing.attempt == attempt) {
                attempt(outgoing);
            }
        });
    }

    /** Key of one end of a connection. The lowest bit is the side, so that a node may connect with itself. */
    private static long linkKey(long connectionId, Packet.Side side) {
        return connectionId & ~1L | (side == Packet.Side.DIALER ? 1 : 0);
    }

    private static Packet control(Packet.Kind kind, long connectionId, Packet.Side receiver) {
        return new Packet(kind, connectionId, receiver, 0, null);
    }

    /** Takes a packet from the network. */
    public void onPacket(String from, Object received) {
        Packet packet = (Packet) received;
        long key = linkKey(packet.connectionId(), packet.receiver());
        SimulatedLink link = linksByKey.get(key);
        if (packet.kind() == Packet.Kind.OPEN) {
            if (link == null) {
                openLink(key, from, Packet.Side.LISTENER);
            }
            transmit(from, control(Packet.Kind.OPENED, packet.connectionId(), Packet.Side.DIALER));
        } else if (packet.kind() == Packet.Kind.RESET) {
            if (link != null) {
                close(link);
            }
        } else if (link != null || packet.receiver() == Packet.Side.DIALER && completesAttempt(from, key)) {
            linksByKey.get(key).onPacket(packet);
        } else {
            transmit(
                    from,
                    control(
                            Packet.Kind.RESET,
                            packet.connectionId(),
                            packet.receiver().other()));
        }
    }

    /**
     * Opens the link of a pending attempt if the packet belongs to it. Any packet of the other side will do: the first
     * message may overtake {@link Packet.Kind#OPENED}.
     */
    private boolean completesAttempt(String from, long key) {
        OutgoingConnection outgoing = outgoingByAddress.get(from);
        boolean pending = outgoing != null && outgoing.link == null && outgoing.key == key;
        if (pending) {
            outgoing.attempt++;
            outgoing.link = openLink(key, from, Packet.Side.DIALER);
        }
        return pending;
    }

    private SimulatedLink openLink(long key, String remote, Packet.Side side) {
        SimulatedLink link = new SimulatedLink(this, key, remote, side, now());
        linksByKey.put(key, link);
        link.send(hello);
        return link;
    }

    /** Hands a message, or the frame of one, to the listener. The first message of a link makes it usable. */
    void deliver(SimulatedLink link, Object body) {
        try {
            NodeMessage message = body instanceof byte[] frame ? decode(frame) : (NodeMessage) body;
            if (message instanceof NodeMessage.Hello peer) {
                onHello(link, peer);
            } else if (!(message instanceof NodeMessage.Ping)) {
                link.receivedOrder().accept(message);
                listener.onMessage(link, message);
            }
        } catch (RuntimeException | FrameException e) {
            failures.accept(e);
        }
    }

    private void onHello(SimulatedLink link, NodeMessage.Hello peer) {
        link.setPeer(peer);
        OutgoingConnection outgoing = outgoingByAddress.get(link.remote());
        if (outgoing != null && outgoing.link == link) {
            outgoing.backoffNanos = settings.minBackoffNanos();
        }
        listener.onConnected(link);
    }

    private static NodeMessage decode(byte[] frame) throws FrameException {
        return CODEC.decode(frame, FRAME_HEADER_BYTES, frame.length - FRAME_HEADER_BYTES);
    }

    /** Closes a link on both sides; an outgoing connection is then retried. */
    void close(SimulatedLink link) {
        if (!link.isOpen()) {
            return;
        }
        link.sendReset();
        link.setClosed();
        linksByKey.remove(link.key());
        OutgoingConnection outgoing = outgoingByAddress.get(link.remote());
        if (outgoing != null && outgoing.link == link) {
            outgoing.link = null;
            retry(outgoing);
        }
        if (link.peerHello() != null) {
            loop.execute(() -> listener.onDisconnected(link));
        }
    }

    private void sweep() {
        loop.schedule(SWEEP_INTERVAL_NANOS, this::sweep);
        long now = now();
        if (now - lastSweepNanos > settings.idleTimeoutNanos() / 2) {
            // This process was frozen: what peers sent meanwhile may not have been read yet, so their silence doesn't
            // count.
            heardFloorNanos = now - settings.idleTimeoutNanos() / 2;
        }
        lastSweepNanos = now;
        for (SimulatedLink link : List.copyOf(linksByKey.values())) {
            if (link.isOpen()) {
                link.onSweep(heardFloorNanos);
            }
        }
    }

    /** Fault injection: closes each connection with this probability. */
    public void closeRandomly(double probability) {
        for (SimulatedLink link : List.copyOf(linksByKey.values())) {
            if (context.random().nextDouble() < probability) {
                close(link);
            }
        }
    }

    /** The process is killed: its machine's kernel resets all connections. */
    public void onProcessKilled() {
        new ArrayList<>(linksByKey.values()).forEach(SimulatedLink::sendReset);
    }

    /** Runs a task on the event loop: now, where the caller is on it. */
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
