package burlarch.simulation.transport;

import burlarch.simulation.Simulation;
import burlarch.transport.MessageOrderValidator;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import java.util.Map;
import java.util.TreeMap;

/**
 * One end of a connection over the simulated network.
 *
 * <p>Invariant (ordered, reliable delivery): while the connection lasts, messages arrive in the order in which they
 * were sent, without loss and without duplicates. As in TCP, sequence numbers, cumulative acknowledgements and
 * retransmission with exponential backoff see to that.
 *
 * <p>Owned by {@link SimulatedPeerConnections}; runs on the event loop of its process.
 */
final class SimulatedPeerConnection implements PeerConnection {
    private static final long FIRST_RETRANSMIT_NANOS = 200 * Simulation.MILLISECOND;
    private static final long MAX_RETRANSMIT_NANOS = 1_600 * Simulation.MILLISECOND;

    /** A sent message that the other side has not acknowledged yet. */
    private static final class Unacknowledged {
        private final Packet packet;
        private long retransmitAtNanos;
        private long backoffNanos = FIRST_RETRANSMIT_NANOS;

        Unacknowledged(Packet packet, long now) {
            this.packet = packet;
            retransmitAtNanos = now + FIRST_RETRANSMIT_NANOS;
        }
    }

    private final SimulatedPeerConnections owner;
    private final long key;
    private final String remote;
    private final Packet.Side side;
    private final TreeMap<Long, Unacknowledged> unacknowledged = new TreeMap<>();
    private final Map<Long, Object> outOfOrder = new TreeMap<>();
    private final MessageOrderValidator receivedOrder = new MessageOrderValidator();
    private final long openedAtNanos;
    private NodeMessage.Hello peer;
    private long lastSentSequence;
    private long lastReceivedSequence;
    private long lastSentNanos;
    private long lastHeardNanos;
    private boolean open = true;

    /** @param side the side of the connection that this end is */
    SimulatedPeerConnection(SimulatedPeerConnections owner, long key, String remote, Packet.Side side, long now) {
        this.owner = owner;
        this.key = key;
        this.remote = remote;
        this.side = side;
        openedAtNanos = now;
        lastSentNanos = now;
        lastHeardNanos = now;
    }

    @Override
    public NodeMessage.Hello peerHello() {
        return peer;
    }

    void setPeer(NodeMessage.Hello hello) {
        peer = hello;
    }

    /** Checks that the peer's messages never go back to an older revision; doing so would be a fault of the peer. */
    MessageOrderValidator receivedOrder() {
        return receivedOrder;
    }

    @Override
    public boolean isOutbound() {
        return side == Packet.Side.DIALER;
    }

    @Override
    public void send(NodeMessage message) {
        owner.onLoop(() -> transmit(message));
    }

    @Override
    public void sendFrame(byte[] frame) {
        owner.onLoop(() -> transmit(frame));
    }

    private void transmit(Object body) {
        if (open) {
            Packet packet = packet(Packet.Kind.DATA, ++lastSentSequence, body);
            unacknowledged.put(lastSentSequence, new Unacknowledged(packet, owner.now()));
            lastSentNanos = owner.now();
            owner.transmit(remote, packet);
        }
    }

    private Packet packet(Packet.Kind kind, long sequence, Object body) {
        return new Packet(kind, key, side.other(), sequence, body);
    }

    /** Takes a packet of this connection, and delivers the messages that are next in order. */
    void onPacket(Packet packet) {
        lastHeardNanos = owner.now();
        if (packet.kind() == Packet.Kind.ACKNOWLEDGEMENT) {
            unacknowledged.headMap(packet.sequence(), true).clear();
        } else if (packet.kind() == Packet.Kind.DATA) {
            onData(packet);
        }
    }

    private void onData(Packet packet) {
        if (packet.sequence() > lastReceivedSequence) {
            outOfOrder.put(packet.sequence(), packet.body());
        }
        while (open && outOfOrder.containsKey(lastReceivedSequence + 1)) {
            owner.deliver(this, outOfOrder.remove(++lastReceivedSequence));
        }
        if (open) {
            owner.transmit(remote, packet(Packet.Kind.ACKNOWLEDGEMENT, lastReceivedSequence, null));
        }
    }

    /**
     * Periodic maintenance: closes the connection after a time-out, retransmits, and sends a ping where idle.
     *
     * @param heardFloorNanos silence counts from this time at the earliest
     */
    void onSweep(long heardFloorNanos) {
        long now = owner.now();
        if (isTimedOut(now, heardFloorNanos)) {
            owner.close(this);
            return;
        }
        for (Unacknowledged message : unacknowledged.values()) {
            if (now - message.retransmitAtNanos >= 0) {
                message.backoffNanos = Math.min(2 * message.backoffNanos, MAX_RETRANSMIT_NANOS);
                message.retransmitAtNanos = now + message.backoffNanos;
                owner.transmit(remote, message.packet);
            }
        }
        if (now - lastSentNanos >= owner.settings().pingIntervalNanos()) {
            transmit(new NodeMessage.Ping());
        }
    }

    private boolean isTimedOut(long now, long heardFloorNanos) {
        // Compared by difference, as the monotonic clock may overflow.
        long heard = lastHeardNanos - heardFloorNanos > 0 ? lastHeardNanos : heardFloorNanos;
        return now - heard >= owner.settings().idleTimeoutNanos()
                || peer == null && now - openedAtNanos >= owner.settings().handshakeTimeoutNanos();
    }

    /** Tells the other side that this connection no longer exists. */
    void sendReset() {
        owner.transmit(remote, packet(Packet.Kind.RESET, 0, null));
    }

    void setClosed() {
        open = false;
    }

    boolean isOpen() {
        return open;
    }

    /** Key of this end among the connections of its process. */
    long key() {
        return key;
    }

    /** Address of the other side. */
    String remote() {
        return remote;
    }

    /** Follows from the connection and the side, not from the object's address, so that runs repeat. */
    @Override
    public int hashCode() {
        return Long.hashCode(key) + (side == Packet.Side.DIALER ? 1 : 0);
    }

    @Override
    public boolean equals(Object other) {
        return this == other;
    }
}
