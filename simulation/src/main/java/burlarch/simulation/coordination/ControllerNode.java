package burlarch.simulation.coordination;

import burlarch.controller.ControllerRuntime;
import burlarch.controller.ControllerSettings;
import burlarch.controller.api.ControlService;
import burlarch.controller.register.RegisterStorage;
import burlarch.coordination.register.ProposalNumber;
import burlarch.node.NodeRoles;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.CallMessages.ControlRequest;
import burlarch.simulation.coordination.CallMessages.EngineResponse;
import burlarch.simulation.disk.SimulatedDisk;
import burlarch.simulation.link.SimulatedDiskExecutor;
import burlarch.simulation.link.SimulatedLinks;
import burlarch.simulation.link.SimulatedLoop;
import burlarch.simulation.link.SimulatedMembership;
import burlarch.storage.Disk;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import burlarch.transport.PeerConnectionListener;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A controller: the real decisions on simulated connections, disk and clock. */
final class ControllerNode implements SimulatedNode {
    private static final String ZONE = "zone";

    private static final long OPEN_AGAIN_NANOS = Simulation.SECOND;
    private final Simulation simulation;
    private final NodeContext context;
    private final SimulatedDisk simulatedDisk;
    private final Disk disk;
    private final List<String> seeds;
    private final boolean bootstrap;
    private final FleetPlan plan;
    private final FleetCheckers rules;
    private final ComponentOverrides doubles;
    private final Observer observer;
    private final SimulatedLoop loop;
    private final Set<PeerConnection> routers = new LinkedHashSet<>();
    private ControllerRuntime core;
    private SimulatedLinks links;
    private SimulatedMembership membership;
    private ControlEndpoint calls;
    private SimulatedEngineOrders engines;
    private ProposalNumber reportedBallot = ProposalNumber.ZERO;
    private long peerUpAt = -1;
    private boolean powerLost;
    private boolean ending;

    /** Told of what a controller does. */
    interface Observer extends ControlEndpoint.Observer {
        /** It sends an order to an engine. */
        void onOrder();
    }

    /** @param bootstrap whether the whole system starts for the first time */
    ControllerNode(
            Simulation simulation,
            NodeContext context,
            SimulatedDisk disk,
            List<String> seeds,
            boolean bootstrap,
            FleetPlan plan,
            FleetCheckers rules,
            ComponentOverrides doubles,
            Observer observer) {
        this.observer = observer;
        simulatedDisk = disk;
        this.disk = doubles.disk(context.name(), disk);
        this.simulation = simulation;
        this.context = context;
        this.seeds = seeds;
        this.bootstrap = bootstrap;
        this.plan = plan;
        this.rules = rules;
        this.doubles = doubles;
        loop = new SimulatedLoop(context);
    }

    @Override
    public void start(long now) {
        event(now, this::open);
    }

    private void open() {
        long begin = simulation.now();
        simulatedDisk.beginCalls(begin);
        try {
            RegisterStorage storage = RegisterStorage.open(
                    disk,
                    context.address(),
                    seeds,
                    bootstrap,
                    () -> doubles.identity(
                            context.address(), Long.toHexString(context.random().nextLong())),
                    plan.segmentBytes());
            loop.schedule(simulatedDisk.callsDoneNanos() - begin, () -> run(storage));
        } catch (IOException full) {
            loop.schedule(OPEN_AGAIN_NANOS, this::open);
        }
    }

    private void run(RegisterStorage storage) {
        core = doubles.core(loop, context);
        String incarnation = Long.toHexString(context.incarnation());
        NodeMessage.Hello hello = new NodeMessage.Hello(
                context.name(),
                NodeRoles.CONTROLLER,
                context.address(),
                ZONE,
                storage.store().identity(),
                incarnation);
        links = new SimulatedLinks(
                context,
                loop,
                hello,
                listener(doubles.controllerListener(core.listener())),
                failure -> rules.onUnexpectedException(context.name(), failure));
        engines = new SimulatedEngineOrders(context, loop, rules.orders(), simulation, observer::onOrder);
        ControllerSettings settings = new ControllerSettings(
                context.address(),
                ZONE,
                seeds,
                context.name() + "-" + incarnation,
                FleetPlan.HEARTBEAT_INTERVAL_NANOS,
                FleetPlan.VERSION_LIMIT_MILLIS,
                doubles.leaseNanos(context.name(), FleetPlan.LEASE_NANOS),
                plan.tolerance());
        SimulatedDiskExecutor thread =
                new SimulatedDiskExecutor(loop, simulatedDisk, simulation.now() - loop.nanoTime());
        ControlService service = core.start(
                settings,
                storage,
                new ControllerRuntime.Environment(links, thread, doubles.engines(engines), context.random()));
        membership = new SimulatedMembership(context, loop, NodeRoles.CONTROLLER, seeds, core::onMembers);
        calls = new ControlEndpoint(
                context,
                loop,
                doubles.calls(service, core, routers),
                failure -> rules.onUnexpectedException(context.name(), failure),
                observer);
    }

    /** Passes all on, and knows which connections lead to routers. */
    private PeerConnectionListener listener(PeerConnectionListener real) {
        return new PeerConnectionListener() {
            @Override
            public void onConnected(PeerConnection link) {
                if (link.peerHello().role().equals(NodeRoles.ROUTER)) {
                    routers.add(link);
                } else {
                    peerUpAt = simulation.now();
                }
                real.onConnected(link);
            }

            @Override
            public void onMessage(PeerConnection link, NodeMessage message) {
                real.onMessage(link, message);
            }

            @Override
            public void onDisconnected(PeerConnection link) {
                routers.remove(link);
                real.onDisconnected(link);
            }
        };
    }

    @Override
    public void onMessage(String from, Object message, long now) {
        event(now, () -> {
            if (links == null) {
                return;
            }
            if (message instanceof ControlRequest request) {
                if (!ending) {
                    calls.onRequest(from, request);
                }
            } else if (message instanceof NodeSignals.Terminate) {
                ending = true;
                membership.leave();
            } else if (message instanceof NodeSignals.ReloadSeeds settings) {
                core.addControllerAddresses(settings.seeds());
            } else if (message instanceof NodeSignals.BreakConnections broken) {
                links.closeRandomly(broken.share());
            } else if (message instanceof EngineResponse answer) {
                engines.onResponse(answer);
            } else if (message instanceof byte[] datagram) {
                membership.onDatagram(from, datagram);
            } else {
                links.onPacket(from, message);
            }
        });
    }

    @Override
    public void onTimer(long now) {
        event(now, () -> {});
    }

    private void event(long now, Runnable action) {
        loop.beginEvent(now);
        try {
            action.run();
            loop.endEvent();
        } catch (RuntimeException failure) {
            rules.onUnexpectedException(context.name(), failure);
            loop.endEvent();
        }
        if (core != null && !core.committedProposalNumber().equals(reportedBallot)) {
            reportedBallot = core.committedProposalNumber();
            rules.onChosen(context.name(), reportedBallot, core.committedState());
        }
    }

    /** Version of the newest configuration that is known here to be chosen. */
    long knownVersion() {
        return core.committedState().configurationVersion();
    }

    /** When a connection to or from another controller came up last; -1 where none ever did. */
    long peerUpAt() {
        return peerUpAt;
    }

    /** Ballot of the newest value that this process knows as chosen. */
    ProposalNumber decidedBallot() {
        return reportedBallot;
    }

    /** What the end of this process is to be: a loss of power. */
    void losePower() {
        powerLost = true;
    }

    @Override
    public void onKilled() {
        if (powerLost) {
            simulatedDisk.onPowerLoss(simulation.now());
            return;
        }
        simulatedDisk.onProcessKilled(simulation.now());
        if (links != null) {
            links.onProcessKilled();
        }
    }
}
