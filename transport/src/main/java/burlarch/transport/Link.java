package burlarch.transport;

/** A connection to another node as its users see it: {@link Connection}, or one in virtual time. */
public interface Link {
    /** What the other side said of itself. */
    NodeMessage.Hello peer();

    /** Whether this side asked for the connection. */
    boolean outgoing();

    /** Sends a message; dropped where the connection is closed. */
    void send(NodeMessage message);

    /** Sends what {@link FrameCodec#encode} made, so that one message to many is encoded once. */
    void sendFrame(byte[] frame);
}
