package burlarch.controller;

import burlarch.node.NodeRoles;
import burlarch.transport.EventLoop;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeMessage.ControllerStatus;
import burlarch.transport.PeerConnection;
import burlarch.transport.PeerConnectionListener;
import java.util.List;

/**
 * Dispatcher of connections and messages from other nodes to the components that handle them. It also sends this
 * controller's status to the other controllers periodically. Runs on the event loop; has no state of its own.
 */
final class NodeMessageDispatcher implements PeerConnectionListener {
    private static final long STATUS_PERIOD_NANOS = 300_000_000;

    private final EventLoop loop;
    /** Null before {@link #start}. */
    private MessageHandlers handlers;

    NodeMessageDispatcher(EventLoop loop) {
        this.loop = loop;
    }

    /** Sets the handlers and sends the first status. Must be called once, before the first connection. */
    void start(MessageHandlers messageHandlers) {
        handlers = messageHandlers;
        sendStatus();
    }

    @Override
    public void onConnected(PeerConnection connection) {
        handlers.prefixCacheForwarder().onConnected(connection);
        String role = connection.peerHello().role();
        if (role.equals(NodeRoles.ROUTER)) {
            onRouterConnected(connection);
        } else if (role.equals(NodeRoles.CONTROLLER)) {
            onControllerConnected(connection);
        }
    }

    private void onRouterConnected(PeerConnection router) {
        handlers.instances().expireOverdue();
        handlers.publisher().onRouterConnected(router, advertisedAddresses());
        handlers.quorumReadGate().onRouterConnected(router);
    }

    private void onControllerConnected(PeerConnection controller) {
        handlers.peers().onConnected(controller);
        handlers.register().quorumContact().onHeard(controller);
        controller.send(status());
        handlers.register().onPeerConnected();
        handlers.instances().sendSnapshot(controller);
    }

    @Override
    public void onDisconnected(PeerConnection connection) {
        handlers.prefixCacheForwarder().onDisconnected(connection);
        if (connection.peerHello().role().equals(NodeRoles.ROUTER)) {
            handlers.publisher().onRouterDisconnected(connection, advertisedAddresses());
            handlers.quorumReadGate().onRouterDisconnected(connection);
            handlers.confirmationService().onRouterDisconnected(connection);
        } else {
            handlers.peers().onDisconnected(connection);
            handlers.register().quorumContact().onDisconnected(connection);
            handlers.instances().onPeerLost();
        }
    }

    @Override
    public void onMessage(PeerConnection connection, NodeMessage message) {
        if (message instanceof NodeMessage.PrefixCacheEvents events) {
            handlers.prefixCacheForwarder().onPrefixCacheEvents(connection, events);
        } else if (message instanceof NodeMessage.RegisterProtocol protocol) {
            handlers.register().onMessage(connection, protocol.message());
        } else if (message instanceof NodeMessage.Committed committed) {
            handlers.register().onCommitted(connection, committed);
        } else if (message instanceof ControllerStatus status) {
            onStatus(connection, status);
        } else if (message instanceof NodeMessage.FetchCommitted) {
            handlers.register().onFetchCommitted(connection);
        } else if (message instanceof NodeMessage.InstanceAnnouncements announcements) {
            handlers.instances().onPeerAnnounced(announcements.instances());
        } else if (message instanceof NodeMessage.ConfigurationAck ack) {
            handlers.publisher().onConfigurationAck(connection, ack.version());
        } else if (message instanceof NodeMessage.FetchConfiguration) {
            handlers.publisher().onFetchConfiguration(connection);
        } else if (message instanceof NodeMessage.ConfirmConfiguration confirm) {
            handlers.confirmationService().onRequest(connection, confirm.request());
        } else if (message instanceof NodeMessage.InstancesAck ack) {
            handlers.publisher().onInstancesAck(connection, ack.revision());
        }
    }

    private void onStatus(PeerConnection connection, ControllerStatus status) {
        handlers.register().quorumContact().onHeard(connection);
        int previousCount = advertisedAddresses().size();
        handlers.peers().addAddresses(status.controllers());
        if (advertisedAddresses().size() != previousCount) {
            handlers.publisher().scheduleFleetUpdate(advertisedAddresses());
        }
        handlers.peers().onAcceptorStatus(connection, status.acceptorAbstains());
        handlers.register().onPeerStatus(connection, status.committed());
    }

    private void sendStatus() {
        handlers.peers().sendAll(status());
        loop.schedule(STATUS_PERIOD_NANOS, this::sendStatus);
    }

    private ControllerStatus status() {
        return new ControllerStatus(
                handlers.register().committed().proposalNumber(),
                advertisedAddresses(),
                handlers.register().acceptorAbstains());
    }

    private List<String> advertisedAddresses() {
        return handlers.peers().advertisedAddresses();
    }
}
