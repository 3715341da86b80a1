package burlarch.controller;

import burlarch.coordination.register.Ballot;
import burlarch.coordination.register.RegisterValue;
import burlarch.node.Roles;
import burlarch.transport.EventLoop;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeMessage.Committed;
import burlarch.transport.NodeMessage.ControllerStatus;
import burlarch.transport.PeerConnection;
import burlarch.transport.PeerConnectionListener;

/**
 * Hands messages of other nodes to the parts of a controller, and tells peers regularly what is known. On the
 * loop.
 */
final class ControllerMessages implements PeerConnectionListener {
    private static final long STATUS_NANOS = 300_000_000;
    /** The own acceptor may be writing the value that others have chosen: asked for only after this. */
    private static final long ACCEPT_TAKES_NANOS = 50_000_000;

    private final EventLoop loop;
    private ControllerParts parts;

    ControllerMessages(EventLoop loop) {
        this.loop = loop;
    }

    /** To be called once, before any connection is up. */
    void start(ControllerParts controllerParts) {
        parts = controllerParts;
        sendStatus();
    }

    @Override
    public void onConnected(PeerConnection connection) {
        parts.kept().onUp(connection);
        if (connection.peerHello().role().equals(Roles.ROUTER)) {
            parts.instances().look();
            parts.publisher().onRouterUp(connection, parts.peers().addressesToTell());
            parts.reads().onRouterUp(connection);
        } else if (connection.peerHello().role().equals(Roles.CONTROLLER)) {
            parts.peers().onUp(connection);
            parts.quorum().onHeard(connection);
            connection.send(status());
            parts.driver().onPeerUp();
            parts.instances().tell(connection);
        }
    }

    @Override
    public void onDisconnected(PeerConnection connection) {
        parts.kept().onDown(connection);
        if (connection.peerHello().role().equals(Roles.ROUTER)) {
            parts.publisher().onRouterDown(connection, parts.peers().addressesToTell());
            parts.reads().onRouterDown(connection);
        } else {
            parts.peers().onDown(connection);
            parts.quorum().onDown(connection);
            parts.instances().onPeerLost();
        }
    }

    @Override
    public void onMessage(PeerConnection connection, NodeMessage message) {
        if (message instanceof NodeMessage.PrefixCacheEvents kept) {
            parts.kept().onKeptParts(connection, kept);
        } else if (message instanceof NodeMessage.RegisterProtocol register) {
            parts.driver().onMessage(connection, register.message());
        } else if (message instanceof Committed decided) {
            onDecided(connection, decided);
        } else if (message instanceof ControllerStatus status) {
            onStatus(connection, status);
        } else if (message instanceof NodeMessage.FetchCommitted
                && parts.decided().value() != null) {
            connection.send(
                    new Committed(parts.decided().ballot(), parts.decided().value()));
        } else if (message instanceof NodeMessage.InstanceAnnouncements announced) {
            parts.instances().onPeerAnnounced(announced.instances());
        } else if (message instanceof NodeMessage.ConfigurationAck ack) {
            parts.publisher().onConfigurationAck(connection, ack.version());
        } else if (message instanceof NodeMessage.FetchConfiguration) {
            parts.publisher().onFetchConfiguration(connection);
        } else if (message instanceof NodeMessage.InstancesAck ack) {
            parts.publisher().onInstancesAck(connection, ack.revision());
        }
    }

    private void onDecided(PeerConnection connection, Committed decided) {
        if (decided.value() != null) {
            parts.decided().adopt(decided.ballot(), decided.value(), false);
        } else if (!adoptAccepted(decided.ballot())) {
            loop.schedule(ACCEPT_TAKES_NANOS, () -> adoptOrFetch(connection, decided.ballot()));
        }
    }

    private void adoptOrFetch(PeerConnection connection, Ballot chosen) {
        if (!adoptAccepted(chosen)) {
            connection.send(new NodeMessage.FetchCommitted());
        }
    }

    /** Takes the chosen value from the own acceptor; false where it isn't there and still needed. */
    private boolean adoptAccepted(Ballot chosen) {
        RegisterValue accepted = parts.driver().acceptedAt(chosen);
        parts.decided().adopt(chosen, accepted, false);
        return chosen.compareTo(parts.decided().ballot()) <= 0;
    }

    private void onStatus(PeerConnection connection, ControllerStatus status) {
        parts.quorum().onHeard(connection);
        int known = parts.peers().addressesToTell().size();
        parts.peers().learn(status.controllers());
        if (parts.peers().addressesToTell().size() != known) {
            parts.publisher().sendFleet(parts.peers().addressesToTell());
        }
        if (status.decided().compareTo(parts.decided().ballot()) > 0) {
            connection.send(new NodeMessage.FetchCommitted());
        }
    }

    private void sendStatus() {
        parts.peers().sendAll(status());
        loop.schedule(STATUS_NANOS, this::sendStatus);
    }

    private ControllerStatus status() {
        return new ControllerStatus(parts.decided().ballot(), parts.peers().addressesToTell());
    }
}
