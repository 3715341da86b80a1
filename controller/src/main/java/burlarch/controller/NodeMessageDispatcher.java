package burlarch.controller;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterValue;
import burlarch.node.NodeRoles;
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
final class NodeMessageDispatcher implements PeerConnectionListener {
    private static final long STATUS_PERIOD_NANOS = 300_000_000;
    /** The own acceptor may be writing the value that others have chosen: asked for only after this. */
    private static final long LOCAL_ACCEPT_DELAY_NANOS = 50_000_000;

    private final EventLoop loop;
    private MessageHandlers handlers;

    NodeMessageDispatcher(EventLoop loop) {
        this.loop = loop;
    }

    /** To be called once, before any connection is up. */
    void start(MessageHandlers controllerParts) {
        handlers = controllerParts;
        sendStatus();
    }

    @Override
    public void onConnected(PeerConnection connection) {
        handlers.prefixCacheEvents().onUp(connection);
        if (connection.peerHello().role().equals(NodeRoles.ROUTER)) {
            handlers.instances().expireSilent();
            handlers.publisher().onRouterUp(connection, handlers.peers().advertisedAddresses());
            handlers.reads().onRouterUp(connection);
        } else if (connection.peerHello().role().equals(NodeRoles.CONTROLLER)) {
            handlers.peers().onUp(connection);
            handlers.quorum().onHeard(connection);
            connection.send(status());
            handlers.proposals().onPeerUp();
            handlers.instances().sendSnapshot(connection);
        }
    }

    @Override
    public void onDisconnected(PeerConnection connection) {
        handlers.prefixCacheEvents().onDown(connection);
        if (connection.peerHello().role().equals(NodeRoles.ROUTER)) {
            handlers.publisher().onRouterDown(connection, handlers.peers().advertisedAddresses());
            handlers.reads().onRouterDown(connection);
        } else {
            handlers.peers().onDown(connection);
            handlers.quorum().onDown(connection);
            handlers.instances().onPeerLost();
        }
    }

    @Override
    public void onMessage(PeerConnection connection, NodeMessage message) {
        if (message instanceof NodeMessage.PrefixCacheEvents kept) {
            handlers.prefixCacheEvents().onPrefixCacheEvents(connection, kept);
        } else if (message instanceof NodeMessage.RegisterProtocol register) {
            handlers.proposals().onMessage(connection, register.message());
        } else if (message instanceof Committed decided) {
            onDecided(connection, decided);
        } else if (message instanceof ControllerStatus status) {
            onStatus(connection, status);
        } else if (message instanceof NodeMessage.FetchCommitted
                && handlers.committed().value() != null) {
            connection.send(new Committed(
                    handlers.committed().proposalNumber(), handlers.committed().value()));
        } else if (message instanceof NodeMessage.InstanceAnnouncements announced) {
            handlers.instances().onPeerAnnounced(announced.instances());
        } else if (message instanceof NodeMessage.ConfigurationAck ack) {
            handlers.publisher().onConfigurationAck(connection, ack.version());
        } else if (message instanceof NodeMessage.FetchConfiguration) {
            handlers.publisher().onFetchConfiguration(connection);
        } else if (message instanceof NodeMessage.InstancesAck ack) {
            handlers.publisher().onInstancesAck(connection, ack.revision());
        }
    }

    private void onDecided(PeerConnection connection, Committed decided) {
        if (decided.value() != null) {
            handlers.committed().advance(decided.proposalNumber(), decided.value(), false);
        } else if (!adoptAccepted(decided.proposalNumber())) {
            loop.schedule(LOCAL_ACCEPT_DELAY_NANOS, () -> adoptOrFetch(connection, decided.proposalNumber()));
        }
    }

    private void adoptOrFetch(PeerConnection connection, ProposalNumber chosen) {
        if (!adoptAccepted(chosen)) {
            connection.send(new NodeMessage.FetchCommitted());
        }
    }

    /** Takes the chosen value from the own acceptor; false where it isn't there and still needed. */
    private boolean adoptAccepted(ProposalNumber chosen) {
        RegisterValue accepted = handlers.proposals().acceptedAt(chosen);
        handlers.committed().advance(chosen, accepted, false);
        return chosen.compareTo(handlers.committed().proposalNumber()) <= 0;
    }

    private void onStatus(PeerConnection connection, ControllerStatus status) {
        handlers.quorum().onHeard(connection);
        int known = handlers.peers().advertisedAddresses().size();
        handlers.peers().addAddresses(status.controllers());
        if (handlers.peers().advertisedAddresses().size() != known) {
            handlers.publisher().scheduleFleetUpdate(handlers.peers().advertisedAddresses());
        }
        if (status.committed().compareTo(handlers.committed().proposalNumber()) > 0) {
            connection.send(new NodeMessage.FetchCommitted());
        }
    }

    private void sendStatus() {
        handlers.peers().sendAll(status());
        loop.schedule(STATUS_PERIOD_NANOS, this::sendStatus);
    }

    private ControllerStatus status() {
        return new ControllerStatus(
                handlers.committed().proposalNumber(), handlers.peers().advertisedAddresses());
    }
}
