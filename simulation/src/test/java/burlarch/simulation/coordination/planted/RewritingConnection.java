package burlarch.simulation.coordination.planted;

import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import java.util.function.UnaryOperator;

/** Peer connection that rewrites each message sent over it. Equal to the connection that it wraps. */
final class RewritingConnection implements PeerConnection {
    private final PeerConnection real;
    private final UnaryOperator<NodeMessage> rewrite;

    RewritingConnection(PeerConnection real, UnaryOperator<NodeMessage> rewrite) {
        this.real = real;
        this.rewrite = rewrite;
    }

    @Override
    public NodeMessage.Hello peerHello() {
        return real.peerHello();
    }

    @Override
    public boolean isOutbound() {
        return real.isOutbound();
    }

    @Override
    public void send(NodeMessage message) {
        real.send(rewrite.apply(message));
    }

    @Override
    public void sendFrame(byte[] frame) {
        real.sendFrame(frame);
    }

    @Override
    public int hashCode() {
        return real.hashCode();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RewritingConnection connection ? real.equals(connection.real) : real.equals(other);
    }
}
