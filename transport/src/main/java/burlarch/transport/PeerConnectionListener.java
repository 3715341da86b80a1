package burlarch.transport;

/** Told on the loop of everything that happens to the connections of one node. */
public interface PeerConnectionListener {
    /** The peer has said Hello. */
    void onConnected(PeerConnection link);

    /** A message other than Hello and Ping. */
    void onMessage(PeerConnection link, NodeMessage message);

    /** Once for each connection that was up, in a turn of its own after whatever closed it. */
    void onDisconnected(PeerConnection link);
}
