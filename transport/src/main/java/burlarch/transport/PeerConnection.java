package burlarch.transport;

/** A connection to another node as its users see it: {@link TcpPeerConnection}, or one in virtual time. */
public interface PeerConnection {
    /** What the other side said of itself. */
    NodeMessage.Hello peerHello();

    /** Whether this side asked for the connection. */
    boolean isOutbound();

    /** Sends a message; dropped where the connection is closed. */
    void send(NodeMessage message);

    /** Sends what {@link FrameCodec#encode} made, so that one message to many is encoded once. */
    void sendFrame(byte[] frame);
}
