package burlarch.testing;

import burlarch.node.NodeRoles;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import java.util.ArrayList;
import java.util.List;

/** Test double of a connection to a controller: delivers nothing and records the messages sent on it. */
public final class RecordingLink implements PeerConnection {
    private static final String DEFAULT_ZONE = "zone";
    private static final String STORAGE_PREFIX = "disk-";
    private static final String INCARNATION = "1";

    /** Recorded messages in the order in which they were sent. */
    public final List<NodeMessage> sent = new ArrayList<>();

    private final NodeMessage.Hello peer;

    /** Creates a connection to the controller at {@code address}, which is also its name, in the default zone. */
    public RecordingLink(String address) {
        this(address, DEFAULT_ZONE);
    }

    /** Creates a connection to the controller in {@code zone} at {@code address}, which is also its name. */
    public RecordingLink(String address, String zone) {
        String storage = STORAGE_PREFIX + address;
        peer = new NodeMessage.Hello(address, NodeRoles.CONTROLLER, address, zone, storage, INCARNATION);
    }

    @Override
    public NodeMessage.Hello peerHello() {
        return peer;
    }

    @Override
    public boolean isOutbound() {
        return true;
    }

    @Override
    public void send(NodeMessage message) {
        sent.add(message);
    }

    /** @throws UnsupportedOperationException always: the code under test sends messages, not encoded frames */
    @Override
    public void sendFrame(byte[] frame) {
        throw new UnsupportedOperationException();
    }

    /** Returns the messages that were sent since the last call, and clears the record. */
    public List<NodeMessage> takeSent() {
        List<NodeMessage> messages = List.copyOf(sent);
        sent.clear();
        return messages;
    }
}
