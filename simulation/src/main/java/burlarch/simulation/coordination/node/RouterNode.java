package burlarch.simulation.coordination.node;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import burlarch.coordination.registry.MergedInstanceView;
import burlarch.node.MembershipService;
import burlarch.node.NodeRoles;
import burlarch.router.control.ConfigurationConfirmer;
import burlarch.router.control.ControllerLinks;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.coordination.check.FleetCheckers;
import burlarch.simulation.coordination.check.RouterView;
import burlarch.simulation.transport.SimulatedEventLoop;
import burlarch.simulation.transport.SimulatedMembership;
import burlarch.simulation.transport.SimulatedPeerConnections;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import burlarch.transport.PeerConnectionListener;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Simulated router process: the real {@link ControllerLinks}, without client requests. */
public final class RouterNode implements SimulatedNode, RouterView {
    private final NodeContext context;
    private final List<String> seeds;
    private final FleetCheckers checkers;
    private final ComponentOverrides overrides;
    private final SimulatedEventLoop loop;
    private SimulatedPeerConnections connections;
    private SimulatedMembership membership;
    private ControllerLinks controllers;
    private Optional<ConfigurationConfirmer> confirmer = Optional.empty();
    private final Set<String> metControllers = new HashSet<>();
    private List<Instance> instances = List.of();
    private long version;

    /** @param seeds addresses of controllers that the router's settings name */
    public RouterNode(FleetEnvironment environment, NodeContext context, List<String> seeds) {
        this.context = context;
        this.seeds = seeds;
        checkers = environment.checkers();
        overrides = environment.overrides();
        loop = new SimulatedEventLoop(context);
    }

    @Override
    public void start(long now) {
        loop.beginEvent(now);
        confirmer = overrides.keyValidityNanos().isPresent()
                ? Optional.of(new ConfigurationConfirmer(
                        loop, overrides.keyValidityNanos().getAsLong()))
                : Optional.empty();
        controllers = new ControllerLinks(overrides.routerEffects(new RecordingUpdateHandler()), confirmer);
        NodeMessage.Hello hello = new NodeMessage.Hello(
                context.name(),
                NodeRoles.ROUTER,
                context.address(),
                "zone",
                "",
                Long.toHexString(context.incarnation()));
        connections = new SimulatedPeerConnections(
                context,
                loop,
                hello,
                new ConnectionRecorder(overrides.routerListener(controllers)),
                failure -> checkers.onUnexpectedException(context.name(), failure));
        controllers.start(connections, seeds);
        confirmer.ifPresent(confirmerToStart -> confirmerToStart.start(controllers::connectedControllers));
        membership = new SimulatedMembership(
                context,
                loop,
                NodeRoles.ROUTER,
                seeds,
                changes -> controllers.addControllers(
                        MembershipService.addressesOfNewMembers(changes, NodeRoles.CONTROLLER)));
        loop.endEvent();
    }

    @Override
    public void onMessage(String from, Object message, long now) {
        loop.beginEvent(now);
        if (message instanceof byte[] datagram) {
            membership.onDatagram(from, datagram);
        } else if (message instanceof NodeSignals.Terminate) {
            membership.leave();
        } else if (message instanceof NodeSignals.ReloadSeeds settings) {
            controllers.addControllers(settings.seeds());
        } else if (message instanceof NodeSignals.BreakConnections broken) {
            connections.closeRandomly(broken.probability());
        } else {
            connections.onPacket(from, message);
        }
        loop.endEvent();
    }

    @Override
    public void onTimer(long now) {
        loop.beginEvent(now);
        loop.endEvent();
    }

    @Override
    public void onKilled() {
        connections.onProcessKilled();
    }

    @Override
    public boolean hasMet(String controller) {
        return metControllers.contains(controller);
    }

    @Override
    public long version() {
        return version;
    }

    @Override
    public boolean acceptsLimitedKeys(long now) {
        return confirmer.isPresent() && overrides.acceptsKeys(confirmer.get().mayAccept(now));
    }

    @Override
    public boolean sendsTo(String id) {
        return instances.stream()
                .anyMatch(instance -> instance.id().equals(id)
                        && instance.state() != InstanceState.DRAINING
                        && instance.state() != InstanceState.GONE);
    }

    /** Listener that records the controllers with which connections were established. */
    private final class ConnectionRecorder implements PeerConnectionListener {
        private final PeerConnectionListener delegate;

        ConnectionRecorder(PeerConnectionListener delegate) {
            this.delegate = delegate;
        }

        @Override
        public void onConnected(PeerConnection connection) {
            metControllers.add(connection.peerHello().nodeName());
            delegate.onConnected(connection);
        }

        @Override
        public void onMessage(PeerConnection connection, NodeMessage message) {
            delegate.onMessage(connection, message);
        }

        @Override
        public void onDisconnected(PeerConnection connection) {
            delegate.onDisconnected(connection);
        }
    }

    /** Handler that records what a router would apply. */
    private final class RecordingUpdateHandler implements ControllerLinks.UpdateHandler {
        @Override
        public boolean onConfiguration(long newVersion, byte[] json) {
            checkers.routers().onConfigurationApplied(context.name(), version, newVersion, json);
            version = newVersion;
            return true;
        }

        @Override
        public void onInstances(MergedInstanceView views) {
            instances = views.instances();
        }

        @Override
        public void onRouterCount(int live) {
            // The router count only sets request budgets, and requests are not simulated.
        }

        @Override
        public void onControllerLost() {
            // No requests are in progress that could be lost with the controller.
        }

        @Override
        public void onPrefixCacheBatch(byte[] batch) {
            // Prefix-cache events only affect request placement, which is not simulated.
        }
    }
}
