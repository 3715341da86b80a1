package burlarch.testing;

import burlarch.node.NodeRoles;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import java.util.ArrayList;
import java.util.List;

/** A connection to a controller that delivers nothing, and keeps the messages sent on it. */
public final class RecordingLink implements PeerConnection {
    private static final String ZONE = "zone";
    private static final String STORAGE_PREFIX = "disk-";
    private static final String INCARNATION = "1";

    /** In the order in which they were sent. */
    public final List<NodeMessage> sent = new ArrayList<>();

    private final NodeMessage.Hello peer;

    /** To the controller that is named by its address, in the one zone there is. */
    public RecordingLink(String address) {
        this(address, ZONE);
    }

    /** To the controller of that zone that is named by its address. */
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

    /** @throws UnsupportedOperationException always: what is under test here sends single messages */
    @Override
    public void sendFrame(byte[] frame) {
        throw new UnsupportedOperationException();
    }

    /** What was sent since the last call. */
    public List<NodeMessage> takeSent() {
        List<NodeMessage> taken = List.copyOf(sent);
        sent.clear();
        return taken;
    }
}
