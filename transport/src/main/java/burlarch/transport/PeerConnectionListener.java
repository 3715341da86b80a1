package burlarch.transport;

/** Receives the events of one node's connections, on the event loop. */
public interface PeerConnectionListener {
    /** The peer's Hello has come; messages may follow. */
    void onConnected(PeerConnection connection);

    /** A message other than Hello and Ping has come. */
    void onMessage(PeerConnection connection, NodeMessage message);

    /**
     * The connection is closed. Called once for each connection that was reported by {@link #onConnected}, in a turn of
     * the loop of its own, so that it never runs inside a call that closed the connection.
     */
    void onDisconnected(PeerConnection connection);
}
