package burlarch.simulation.transport;

import burlarch.simulation.Simulation;
import burlarch.transport.MessageOrderValidator;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import java.util.Map;
import java.util.TreeMap;

/**
 * One end of a peer connection over the simulated network.
 *
 * <p>Invariant (ordered, reliable delivery): while the connection lasts, messages arrive in the order in which they
 * were sent, without loss and without duplicates. As in TCP, this is achieved by sequence numbers, cumulative
 * acknowledgements and retransmission with exponential backoff.
 *
 * <p>Owned by {@link SimulatedPeerConnections}; runs on the event loop of its process.
 */
final class SimulatedPeerConnection implements PeerConnection {
    private static final long INITIAL_RETRANSMIT_NANOS = 200 * Simulation.MILLISECOND;
    private static final long MAX_RETRANSMIT_NANOS = 1_600 * Simulation.MILLISECOND;

    /** Sent message that the other side has not acknowledged. */
    private static final class Unacknowledged {
        private final Packet packet;
        private long retransmitAtNanos;
        private long backoffNanos = INITIAL_RETRANSMIT_NANOS;

        Unacknowledged(Packet packet, long now) {
            this.packet = packet;
            retransmitAtNanos = now + INITIAL_RETRANSMIT_NANOS;
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

    /** @param side side of the connection that this object represents */
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

    /** Returns the validator of message order: a peer must never send an older revision after a newer one. */
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

    /** Handles a packet of this connection, and delivers the messages that are next in order. */
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
     * Performs periodic maintenance: closes the connection after a timeout, retransmits messages, and sends a ping if
     * the connection is idle.
     *
     * @param heardFloorNanos earliest time from which the peer's silence is counted
     */
    void onSweep(long heardFloorNanos) {
        long now = owner.now();
        if (isTimedOut(now, heardFloorNanos)) {
            owner.close(this);
            return;
        }
        for (Unacknowledged pending : unacknowledged.values()) {
            if (now - pending.retransmitAtNanos >= 0) {
                pending.backoffNanos = Math.min(2 * pending.backoffNanos, MAX_RETRANSMIT_NANOS);
                pending.retransmitAtNanos = now + pending.backoffNanos;
                owner.transmit(remote, pending.packet);
            }
        }
        if (now - lastSentNanos >= owner.settings().pingIntervalNanos()) {
            transmit(new NodeMessage.Ping());
        }
    }

    private boolean isTimedOut(long now, long heardFloorNanos) {
        // Times are compared by difference because the monotonic clock may overflow.
        long silentSinceNanos = lastHeardNanos - heardFloorNanos > 0 ? lastHeardNanos : heardFloorNanos;
        return now - silentSinceNanos >= owner.settings().idleTimeoutNanos()
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

    /** Returns the key of this end among the connections of its process. */
    long key() {
        return key;
    }

    /** Returns the address of the other side. */
    String remote() {
        return remote;
    }

    /** Derived from the key and the side instead of the object identity, so that runs are reproducible. */
    @Override
    public int hashCode() {
        return Long.hashCode(key) + (side == Packet.Side.DIALER ? 1 : 0);
    }

    @Override
    public boolean equals(Object other) {
        return this == other;
    }
}
