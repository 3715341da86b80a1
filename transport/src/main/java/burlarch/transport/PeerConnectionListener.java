package burlarch.transport;

/** Receives the events of a node's connections, on the event loop. */
public interface PeerConnectionListener {
    /** Called when the peer's Hello was received; messages may follow. */
    void onConnected(PeerConnection connection);

    /** Called for each received message other than Hello and Ping. */
    void onMessage(PeerConnection connection, NodeMessage message);

    /**
     * Called when a connection was closed, once for each connection reported by {@link #onConnected}. Runs as a
     * separate task of the loop, never inside the call that closed the connection.
     */
    void onDisconnected(PeerConnection connection);
}
