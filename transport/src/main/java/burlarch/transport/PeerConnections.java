package burlarch.transport;

import java.net.InetSocketAddress;

/**
 * Opens and closes the connections of one node. Implemented by {@link NodeTransport} in production and by simulated
 * connections in virtual time.
 */
public interface PeerConnections {
    /** Connects to the address, and reconnects whenever the connection is lost. Repeated calls have no effect. */
    void connect(InetSocketAddress target);

    /** Closes the connection that {@link #connect} opened to the address, if any, and stops reconnecting. */
    void disconnect(InetSocketAddress target);

    /** Returns the codec that encodes frames for {@link PeerConnection#sendFrame}. */
    FrameCodec codec();
}
