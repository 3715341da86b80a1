package burlarch.transport;

/**
 * A connection to another node. Implemented by {@link TcpPeerConnection} in production and by a simulated connection
 * in virtual time. Messages arrive in the order in which they were sent, without loss while the connection is open.
 */
public interface PeerConnection {
    /** Returns the peer's Hello; null before {@link PeerConnectionListener#onConnected}. */
    NodeMessage.Hello peerHello();

    /** Returns whether this node opened the connection; false if the peer did. */
    boolean isOutbound();

    /** Sends a message. Any thread. The message is dropped if the connection is closed. */
    void send(NodeMessage message);

    /**
     * Sends a frame encoded by {@link FrameCodec#encode}, so that a message to many peers is encoded only once. Any
     * thread. The array must not be modified afterwards.
     */
    void sendFrame(byte[] frame);
}
