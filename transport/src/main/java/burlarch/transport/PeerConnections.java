package burlarch.transport;

import java.net.InetSocketAddress;

/** The connections of one node as their users see them: {@link NodeTransport}, or those in virtual time. */
public interface PeerConnections {
    /** Keeps a connection to that address; may be repeated. */
    void connect(InetSocketAddress target);

    /** Closes the connection that this node keeps to that address, if any, and asks for no other. */
    void disconnect(InetSocketAddress target);

    /** Encodes messages for {@link PeerConnection#sendFrame}. */
    FrameCodec codec();
}
