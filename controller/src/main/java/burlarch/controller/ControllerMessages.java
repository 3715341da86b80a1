package burlarch.controller;

import burlarch.coordination.register.Ballot;
import burlarch.coordination.register.RegisterValue;
import burlarch.node.Roles;
import burlarch.transport.Link;
import burlarch.transport.LinkListener;
import burlarch.transport.Loop;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeMessage.ControllerStatus;
import burlarch.transport.NodeMessage.Decided;

/**
 * Hands messages of other nodes to the parts of a controller, and tells peers regularly what is known. On the
 * loop.
 */
final class ControllerMessages implements LinkListener {
    private static final long STATUS_NANOS = 300_000_000;
    /** The own acceptor may be writing the value that others have chosen: asked for only after this. */
    private static final long ACCEPT_TAKES_NANOS = 50_000_000;

    private final Loop loop;
    private ControllerParts parts;

    ControllerMessages(Loop loop) {
        this.loop = loop;
    }

    /** To be called once, before any connection is up. */
    void start(ControllerParts controllerParts) {
        parts = controllerParts;
        sendStatus();
    }

    @Override
    public void onUp(Link connection) {
        parts.kept().onUp(connection);
        if (connection.peer().role().equals(Roles.ROUTER)) {
            parts.instances().look();
            parts.publisher().onRouterUp(connection, parts.peers().addressesToTell());
            parts.reads().onRouterUp(connection);
        } else if (connection.peer().role().equals(Roles.CONTROLLER)) {
            parts.peers().onUp(connection);
            parts.quorum().onHeard(connection);
            connection.send(status());
            parts.driver().onPeerUp();
            parts.instances().tell(connection);
        }
    }

    @Override
    public void onDown(Link connection) {
        parts.kept().onDown(connection);
        if (connection.peer().role().equals(Roles.ROUTER)) {
            parts.publisher().onRouterDown(connection, parts.peers().addressesToTell());
            parts.reads().onRouterDown(connection);
        } else {
            parts.peers().onDown(connection);
            parts.quorum().onDown(connection);
            parts.instances().onPeerLost();
        }
    }

    @Override
    public void onMessage(Link connection, NodeMessage message) {
        if (message instanceof NodeMessage.KeptParts kept) {
            parts.kept().onKeptParts(connection, kept);
        } else if (message instanceof NodeMessage.Register register) {
            parts.driver().onMessage(connection, register.message());
        } else if (message instanceof Decided decided) {
            onDecided(connection, decided);
        } else if (message instanceof ControllerStatus status) {
            onStatus(connection, status);
        } else if (message instanceof NodeMessage.FetchDecided
                && parts.decided().value() != null) {
            connection.send(
                    new Decided(parts.decided().ballot(), parts.decided().value()));
        } else if (message instanceof NodeMessage.Announced announced) {
            parts.instances().onPeerAnnounced(announced.instances());
        } else if (message instanceof NodeMessage.ConfigurationAck ack) {
            parts.publisher().onConfigurationAck(connection, ack.version());
        } else if (message instanceof NodeMessage.FetchConfiguration) {
            parts.publisher().onFetchConfiguration(connection);
        } else if (message instanceof NodeMessage.InstancesAck ack) {
            parts.publisher().onInstancesAck(connection, ack.revision());
        }
    }

    private void onDecided(Link connection, Decided decided) {
        if (decided.value() != null) {
            parts.decided().adopt(decided.ballot(), decided.value(), false);
        } else if (!adoptAccepted(decided.ballot())) {
            loop.schedule(ACCEPT_TAKES_NANOS, () -> adoptOrFetch(connection, decided.ballot()));
        }
    }

    private void adoptOrFetch(Link connection, Ballot chosen) {
        if (!adoptAccepted(chosen)) {
            connection.send(new NodeMessage.FetchDecided());
        }
    }

    /** Takes the chosen value from the own acceptor; false where it isn't there and still needed. */
    private boolean adoptAccepted(Ballot chosen) {
        RegisterValue accepted = parts.driver().acceptedAt(chosen);
        parts.decided().adopt(chosen, accepted, false);
        return chosen.compareTo(parts.decided().ballot()) <= 0;
    }

    private void onStatus(Link connection, ControllerStatus status) {
        parts.quorum().onHeard(connection);
        int known = parts.peers().addressesToTell().size();
        parts.peers().learn(status.controllers());
        if (parts.peers().addressesToTell().size() != known) {
            parts.publisher().sendFleet(parts.peers().addressesToTell());
        }
        if (status.decided().compareTo(parts.decided().ballot()) > 0) {
            connection.send(new NodeMessage.FetchDecided());
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
