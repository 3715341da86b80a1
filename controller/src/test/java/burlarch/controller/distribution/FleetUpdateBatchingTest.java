package burlarch.controller.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.registry.InstanceRegistry;
import burlarch.coordination.registry.RegistrySettings;
import burlarch.node.NodeRoles;
import burlarch.testing.VirtualLoop;
import burlarch.transport.FrameCodec;
import burlarch.transport.FrameException;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeMessage.FleetUpdate;
import burlarch.transport.NodeMessage.Hello;
import burlarch.transport.PeerConnection;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the batching of fleet updates, which tell routers how many routers there are. When all routers start at once,
 * as after a power failure, an update per connection would cost each controller a number of messages that is quadratic
 * in the number of routers.
 */
class FleetUpdateBatchingTest {
    private static final FrameCodec CODEC = new FrameCodec();
    private static final int FRAME_HEADER_BYTES = 4;
    private static final int ROUTERS = 66;
    private static final List<String> CONTROLLERS = List.of("10.0.1.1:1", "10.0.1.2:1");

    private final VirtualLoop loop = new VirtualLoop();
    private final RouterPublisher publisher =
            new RouterPublisher(loop, CODEC, new InstanceRegistry(RegistrySettings.forHeartbeat(1_200_000_000), 0));
    private final List<Router> routers = new ArrayList<>();

    /** Connection to a router that records the fleet updates sent to it. */
    private static final class Router implements PeerConnection {
        private final String name;
        private final List<FleetUpdate> received = new ArrayList<>();

        Router(String name) {
            this.name = name;
        }

        @Override
        public Hello peerHello() {
            return new Hello(name, NodeRoles.ROUTER, name, "zone", "", "");
        }

        @Override
        public boolean isOutbound() {
            return false;
        }

        @Override
        public void send(NodeMessage message) {
            if (message instanceof FleetUpdate update) {
                received.add(update);
            }
        }

        @Override
        public void sendFrame(byte[] frame) {
            try {
                send(CODEC.decode(frame, FRAME_HEADER_BYTES, frame.length - FRAME_HEADER_BYTES));
            } catch (FrameException e) {
                throw new AssertionError(e);
            }
        }
    }

    private void connectAll() {
        for (int i = 0; i < ROUTERS; i++) {
            Router router = new Router("edge-" + i);
            routers.add(router);
            publisher.onRouterConnected(router, CONTROLLERS);
        }
        loop.pass(RouterPublisher.FLEET_UPDATE_DELAY_NANOS);
    }

    @Test
    void routersThatConnectTogetherReceiveOneUpdate() {
        connectAll();
        for (Router router : routers) {
            assertThat(router.received).containsExactly(new FleetUpdate(CONTROLLERS, ROUTERS));
        }
    }

    @Test
    void disconnectionsArePublishedToTheOtherRouters() {
        connectAll();
        publisher.onRouterDisconnected(routers.get(0), CONTROLLERS);
        publisher.onRouterDisconnected(routers.get(1), CONTROLLERS);
        loop.pass(RouterPublisher.FLEET_UPDATE_DELAY_NANOS);
        assertThat(routers.get(0).received).hasSize(1);
        assertThat(routers.get(2).received).hasSize(2).endsWith(new FleetUpdate(CONTROLLERS, ROUTERS - 2));
    }

    @Test
    void newControllersArePublishedAfterTheSameDelay() {
        connectAll();
        List<String> newControllers = List.of("10.0.1.1:1", "10.0.1.2:1", "10.0.1.3:1");
        publisher.scheduleFleetUpdate(newControllers);
        loop.pass(RouterPublisher.FLEET_UPDATE_DELAY_NANOS);
        assertThat(routers.get(5).received).endsWith(new FleetUpdate(newControllers, ROUTERS));
    }
}
