package burlarch.transport;

import java.net.InetSocketAddress;

/** The connections of one node as their users see them: {@link NodeTransport}, or those in virtual time. */
public interface PeerConnections {
    /** Keeps a connection to the address, and opens another one whenever it is lost. Calling again does nothing. */
    void connect(InetSocketAddress target);

    /** Closes the connection that {@link #connect} keeps to the address, if any, and opens no other. */
    void disconnect(InetSocketAddress target);

    /** Returns the codec that makes frames for {@link PeerConnection#sendFrame}. */
    FrameCodec codec();
}
