package burlarch.controller.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.node.NodeRoles;
import burlarch.testing.VirtualLoop;
import burlarch.transport.FrameCodec;
import burlarch.transport.FrameException;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeMessage.Hello;
import burlarch.transport.NodeMessage.PrefixCacheEvents;
import burlarch.transport.PeerConnection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests the number of frames that cross zones and reach routers, in a simulated fleet with virtual time. Traffic
 * between zones is charged and each write wakes a router; an earlier version sent the events from one controller to
 * every router of every zone.
 */
class PrefixCacheEventForwarderTest {
    private static final FrameCodec CODEC = new FrameCodec();
    private static final int FRAME_HEADER_BYTES = 4;
    private static final List<String> ZONES = List.of("a", "b", "c");

    private final VirtualLoop loop = new VirtualLoop();
    private final Map<String, Node> nodes = new HashMap<>();
    private int crossZoneFrames;

    /** A controller, or a router that records the events that it receives. */
    private final class Node {
        private final String name;
        private final String zone;
        private final PrefixCacheEventForwarder forwarder;
        private final List<String> received = new ArrayList<>();
        private final Map<String, ConnectionEnd> connections = new HashMap<>();

        Node(String name, String zone, boolean controller) {
            this.name = name;
            this.zone = zone;
            forwarder = controller ? new PrefixCacheEventForwarder(loop, CODEC, name, zone) : null;
        }
    }

    /** One side of a connection; a frame that is sent here reaches the other side at once. */
    private final class ConnectionEnd implements PeerConnection {
        private final Node local;
        private final Node remote;
        private final boolean outbound;

        ConnectionEnd(Node local, Node remote, boolean outbound) {
            this.local = local;
            this.remote = remote;
            this.outbound = outbound;
        }

        @Override
        public Hello peerHello() {
            String role = remote.forwarder == null ? NodeRoles.ROUTER : NodeRoles.CONTROLLER;
            return new Hello(remote.name, role, remote.name, remote.zone, "", "");
        }

        @Override
        public boolean isOutbound() {
            return outbound;
        }

        @Override
        public void send(NodeMessage message) {
            sendFrame(CODEC.encode(message));
        }

        @Override
        public void sendFrame(byte[] frame) {
            crossZoneFrames += local.zone.equals(remote.zone) ? 0 : 1;
            try {
                PrefixCacheEvents events =
                        (PrefixCacheEvents) CODEC.decode(frame, FRAME_HEADER_BYTES, frame.length - FRAME_HEADER_BYTES);
                if (remote.forwarder == null) {
                    remote.received.add(new String(events.batch()));
                } else {
                    remote.forwarder.onPrefixCacheEvents(remote.connections.get(local.name), events);
                }
            } catch (FrameException e) {
                throw new AssertionError(e);
            }
        }
    }

    private Node add(String name, String zone, boolean controller) {
        Node node = new Node(name, zone, controller);
        for (Node other : nodes.values()) {
            if (controller || other.forwarder != null) {
                connect(node, other);
            }
        }
        nodes.put(name, node);
        return node;
    }

    /** Controllers connect to each other in both directions; here one connection represents both. */
    private void connect(Node first, Node second) {
        first.connections.put(second.name, new ConnectionEnd(first, second, true));
        second.connections.put(first.name, new ConnectionEnd(second, first, true));
        for (Node node : List.of(first, second)) {
            if (node.forwarder != null) {
                node.forwarder.onConnected(node.connections.get(node == first ? second.name : first.name));
            }
        }
    }

    private void disconnect(String firstName, String secondName) {
        Node firstNode = nodes.get(firstName);
        Node secondNode = nodes.get(secondName);
        firstNode.forwarder.onDisconnected(firstNode.connections.remove(secondName));
        secondNode.forwarder.onDisconnected(secondNode.connections.remove(firstName));
    }

    /** Adds two controllers and four routers in each zone. */
    private void addFleet() {
        for (String zone : ZONES) {
            add("core-" + zone + "-1", zone, true);
            add("core-" + zone + "-2", zone, true);
        }
        for (String zone : ZONES) {
            for (int i = 1; i <= 4; i++) {
                add("edge-" + zone + "-" + i, zone, false);
            }
        }
    }

    private void sendEvents(String router, String controller, String batch) {
        nodes.get(router).connections.get(controller).send(new PrefixCacheEvents(batch.getBytes()));
    }

    private void passBatchDelays() {
        loop.pass(PrefixCacheEventForwarder.BATCH_DELAY_NANOS);
        loop.pass(PrefixCacheEventForwarder.BATCH_DELAY_NANOS);
    }

    private void assertReceivedByAllOtherRouters(String sender, String... batches) {
        for (Node node : nodes.values()) {
            if (node.forwarder == null) {
                String[] expected = node.name.equals(sender) ? new String[0] : batches;
                assertThat(node.received).as(node.name).containsExactly(expected);
            }
        }
    }

    @Test
    void frameCrossesToEachOtherZoneOnce() {
        addFleet();
        loop.pass(PrefixCacheEventForwarder.RELAY_ELIGIBLE_AFTER_NANOS);
        sendEvents("edge-a-1", "core-a-1", "news");
        passBatchDelays();
        assertReceivedByAllOtherRouters("edge-a-1", "news");
        assertThat(crossZoneFrames).isEqualTo(2);
    }

    @Test
    void framesOfOneBatchAreSentInOrder() {
        addFleet();
        loop.pass(PrefixCacheEventForwarder.RELAY_ELIGIBLE_AFTER_NANOS);
        sendEvents("edge-b-2", "core-b-2", "first");
        sendEvents("edge-b-2", "core-b-2", "second");
        passBatchDelays();
        assertReceivedByAllOtherRouters("edge-b-2", "first", "second");
    }

    @Test
    void newlyConnectedControllerIsNotYetRelay() {
        addFleet();
        sendEvents("edge-a-1", "core-a-1", "news");
        passBatchDelays();
        assertReceivedByAllOtherRouters("edge-a-1", "news");
        assertThat(crossZoneFrames).isEqualTo(8);
    }

    @Test
    void zoneWithoutReachableControllersIsServedDirectly() {
        addFleet();
        loop.pass(PrefixCacheEventForwarder.RELAY_ELIGIBLE_AFTER_NANOS);
        disconnect("core-a-1", "core-b-1");
        disconnect("core-a-1", "core-b-2");
        sendEvents("edge-a-1", "core-a-1", "news");
        passBatchDelays();
        assertReceivedByAllOtherRouters("edge-a-1", "news");
        assertThat(crossZoneFrames).isEqualTo(5);
    }
}
