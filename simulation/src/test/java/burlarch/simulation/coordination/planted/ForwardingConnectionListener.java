package burlarch.simulation.coordination.planted;

import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import burlarch.transport.PeerConnectionListener;

/** Connection listener that forwards all events to another listener; planted faults override some methods. */
class ForwardingConnectionListener implements PeerConnectionListener {
    private final PeerConnectionListener real;

    ForwardingConnectionListener(PeerConnectionListener real) {
        this.real = real;
    }

    @Override
    public void onConnected(PeerConnection connection) {
        real.onConnected(connection);
    }

    @Override
    public void onMessage(PeerConnection connection, NodeMessage message) {
        real.onMessage(connection, message);
    }

    @Override
    public void onDisconnected(PeerConnection connection) {
        real.onDisconnected(connection);
    }
}
