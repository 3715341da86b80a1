package burlarch.simulation.coordination;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import burlarch.coordination.registry.MergedInstanceView;
import burlarch.node.MembershipService;
import burlarch.node.NodeRoles;
import burlarch.router.control.ControllerLinks;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.link.SimulatedLinks;
import burlarch.simulation.link.SimulatedLoop;
import burlarch.simulation.link.SimulatedMembership;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import burlarch.transport.PeerConnectionListener;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A router as far as controllers tell it something. */
final class RouterNode implements SimulatedNode {
    private final NodeContext context;
    private final List<String> seeds;
    private final FleetCheckers rules;
    private final ComponentOverrides doubles;
    private final SimulatedLoop loop;
    private SimulatedLinks transport;
    private SimulatedMembership membership;
    private ControllerLinks links;
    private final Set<String> met = new HashSet<>();
    private List<Instance> instances = List.of();
    private long version;

    RouterNode(NodeContext context, List<String> seeds, FleetCheckers rules, ComponentOverrides doubles) {
        this.doubles = doubles;
        this.context = context;
        this.seeds = seeds;
        this.rules = rules;
        loop = new SimulatedLoop(context);
    }

    @Override
    public void start(long now) {
        loop.beginEvent(now);
        links = new ControllerLinks(doubles.routerEffects(new InForce()));
        NodeMessage.Hello hello = new NodeMessage.Hello(
                context.name(),
                NodeRoles.ROUTER,
                context.address(),
                "zone",
                "",
                Long.toHexString(context.incarnation()));
        transport = new SimulatedLinks(
                context,
                loop,
                hello,
                new NotingListener(doubles.routerListener(links)),
                failure -> rules.onUnexpectedException(context.name(), failure));
        links.start(transport, seeds);
        membership = new SimulatedMembership(
                context,
                loop,
                NodeRoles.ROUTER,
                seeds,
                changes -> links.addControllers(MembershipService.appearedAddresses(changes, NodeRoles.CONTROLLER)));
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
            links.addControllers(settings.seeds());
        } else if (message instanceof NodeSignals.BreakConnections broken) {
            transport.closeRandomly(broken.share());
        } else {
            transport.onPacket(from, message);
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
        transport.onProcessKilled();
    }

    /** Whether it has ever been connected with that controller since its start. */
    boolean hasMet(String controller) {
        return met.contains(controller);
    }

    long version() {
        return version;
    }

    /** Whether requests may go to that instance. */
    boolean sendsTo(String id) {
        return instances.stream()
                .anyMatch(instance -> instance.id().equals(id)
                        && instance.state() != InstanceState.DRAINING
                        && instance.state() != InstanceState.GONE);
    }

    /** Passes all on, and knows which controllers were met. */
    private final class NotingListener implements PeerConnectionListener {
        private final PeerConnectionListener real;

        NotingListener(PeerConnectionListener real) {
            this.real = real;
        }

        @Override
        public void onConnected(PeerConnection link) {
            met.add(link.peerHello().nodeName());
            real.onConnected(link);
        }

        @Override
        public void onMessage(PeerConnection link, NodeMessage message) {
            real.onMessage(link, message);
        }

        @Override
        public void onDisconnected(PeerConnection link) {
            real.onDisconnected(link);
        }
    }

    private final class InForce implements ControllerLinks.UpdateHandler {
        @Override
        public boolean onConfiguration(long newVersion, byte[] json) {
            rules.routers().onConfigurationApplied(context.name(), version, newVersion, json);
            version = newVersion;
            return true;
        }

        @Override
        public void onInstances(MergedInstanceView views) {
            instances = views.instances();
        }

        @Override
        public void onRouterCount(int live) {
            // The count steers budgets, which are not under play here.
        }

        @Override
        public void onControllerLost() {
            // Nothing was passed on that could be lost with it.
        }

        @Override
        public void onPrefixCacheBatch(byte[] batch) {
            // What engines keep steers placement, which is not under play here.
        }
    }
}
