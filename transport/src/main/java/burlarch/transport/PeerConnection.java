package burlarch.transport;

/**
 * A connection to another node as its users see it: {@link TcpPeerConnection} in service, or one in virtual time.
 * Messages arrive in the order in which they were sent, without loss while the connection lasts.
 */
public interface PeerConnection {
    /** Returns the peer's Hello. Only after {@link PeerConnectionListener#onConnected}; null before. */
    NodeMessage.Hello peerHello();

    /** Returns whether this node opened the connection; false if the peer did. */
    boolean isOutbound();

    /** Sends a message. Any thread. A message for a closed connection is dropped. */
    void send(NodeMessage message);

    /**
     * Sends a frame made by {@link FrameCodec#encode}, so that a message to many peers is encoded once. Any thread. The
     * array must not be changed afterwards.
     */
    void sendFrame(byte[] frame);
}
