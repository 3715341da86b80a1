package burlarch.simulation.link;

import burlarch.simulation.Simulation;
import burlarch.transport.MessageOrderValidator;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import java.util.Map;
import java.util.TreeMap;

/**
 * One end of a connection: in order and without loss while it lasts, by numbers and repetition as TCP does
 * it.
 */
final class SimulatedLink implements PeerConnection {
    private static final long FIRST_RETRANSMIT_NANOS = 200 * Simulation.MILLISECOND;
    private static final long MAX_RETRANSMIT_NANOS = 1_600 * Simulation.MILLISECOND;

    private static final class Unacknowledged {
        private final Packet packet;
        private long retransmitAtNanos;
        private long backoffNanos = FIRST_RETRANSMIT_NANOS;

        Unacknowledged(Packet packet, long now) {
            this.packet = packet;
            retransmitAtNanos = now + FIRST_RETRANSMIT_NANOS;
        }
    }

    private final SimulatedLinks owner;
    private final long key;
    private final String remote;
    private final boolean outgoing;
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

    SimulatedLink(SimulatedLinks owner, long number, String remote, boolean outgoing, long now) {
        this.owner = owner;
        this.key = number;
        this.remote = remote;
        this.outgoing = outgoing;
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

    /** What the other side has said so far; a message that goes back is a fault of its sender here. */
    MessageOrderValidator receivedOrder() {
        return receivedOrder;
    }

    @Override
    public boolean isOutbound() {
        return outgoing;
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

    private Packet packet(Packet.Kind kind, long messageNumber, Object body) {
        return new Packet(kind, key, !outgoing, messageNumber, body);
    }

    /** Takes a packet; hands messages on in their order. */
    void onPacket(Packet packet) {
        lastHeardNanos = owner.now();
        if (packet.kind() == Packet.Kind.ACKNOWLEDGEMENT) {
            unacknowledged.headMap(packet.sequence(), true).clear();
        } else if (packet.kind() == Packet.Kind.DATA) {
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
    }

    /**
     * Repeats what wasn't acknowledged, says that it is alive where it was quiet, ends where it hears
     * nothing.
     */
    void onSweep(long heardFloor) {
        long now = owner.now();
        long heard = lastHeardNanos - heardFloor > 0 ? lastHeardNanos : heardFloor;
        if (now - heard >= owner.settings().idleTimeoutNanos()
                || peer == null && now - openedAtNanos >= owner.settings().handshakeTimeoutNanos()) {
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

    /** Tells the other side that there is no such connection any more. */
    void sendReset() {
        owner.transmit(remote, packet(Packet.Kind.RESET, 0, null));
    }

    void markClosed() {
        open = false;
    }

    boolean isOpen() {
        return open;
    }

    long key() {
        return key;
    }

    String remote() {
        return remote;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(key) + (outgoing ? 1 : 0);
    }

    @Override
    public boolean equals(Object other) {
        return this == other;
    }
}
