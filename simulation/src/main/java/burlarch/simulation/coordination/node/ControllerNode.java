package burlarch.simulation.coordination.node;

import burlarch.controller.ControllerRuntime;
import burlarch.controller.ControllerSettings;
import burlarch.controller.api.ControlService;
import burlarch.controller.register.RegisterStorage;
import burlarch.coordination.register.ProposalNumber;
import burlarch.node.NodeRoles;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.check.FleetCheckers;
import burlarch.simulation.coordination.node.CallMessages.ControlRequest;
import burlarch.simulation.coordination.node.CallMessages.EngineResponse;
import burlarch.simulation.coordination.plan.FleetPlan;
import burlarch.simulation.coordination.plan.FleetTimings;
import burlarch.simulation.disk.SimulatedDisk;
import burlarch.simulation.transport.SimulatedDiskExecutor;
import burlarch.simulation.transport.SimulatedEventLoop;
import burlarch.simulation.transport.SimulatedMembership;
import burlarch.simulation.transport.SimulatedPeerConnections;
import burlarch.storage.Disk;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import burlarch.transport.PeerConnectionListener;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Simulated controller process: the real {@link ControllerRuntime} on simulated connections, disk and clock. It goes
 * through these phases, and may be killed in each.
 *
 * <pre>
 * OPENING      opens its storage, and retries while the disk rejects it; ignores messages
 * RUNNING      handles messages and calls
 * TERMINATING  after SIGTERM: has left the membership, handles messages but no more calls
 * </pre>
 */
public final class ControllerNode implements SimulatedNode {
    /** Whether the storage may be created for a new register. */
    public enum StartKind {
        /** The first start of one of the controllers that the fleet begins with. */
        FIRST_OF_FLEET,
        /** Any other start: the acceptors are those that the disk or other controllers name. */
        LATER
    }

    /** Observer of what a controller does. */
    public interface Observer {
        /** Called when a call of an operator or an instance has arrived. */
        void onCall(ControlAction action);

        /** Called when a call has succeeded and its response has been sent. */
        void onSuccess(ControlAction action);

        /** Called before an order is sent to an engine. */
        void onOrder();
    }

    private enum Phase {
        OPENING,
        RUNNING,
        TERMINATING
    }

    private static final String ZONE = "zone";
    private static final long REOPEN_DELAY_NANOS = Simulation.SECOND;

    private final Simulation simulation;
    private final FleetPlan plan;
    private final FleetCheckers checkers;
    private final ComponentOverrides overrides;
    private final NodeContext context;
    private final SimulatedDisk simulatedDisk;
    private final Disk disk;
    private final List<String> seeds;
    private final StartKind startKind;
    private final Observer observer;
    private final SimulatedEventLoop loop;
    private final Set<PeerConnection> routerConnections = new LinkedHashSet<>();
    private Phase phase = Phase.OPENING;
    private ControllerRuntime runtime;
    private SimulatedPeerConnections connections;
    private SimulatedMembership membership;
    private ControlEndpoint endpoint;
    private SimulatedEngineOrders engineOrders;
    /** Proposal number of the newest value that was reported to the checkers. */
    private ProposalNumber reportedNumber = ProposalNumber.ZERO;

    private long peerUpNanos = -1;
    private boolean powerLost;

    /**
     * Creates the process.
     *
     * @param disk the machine's disk, as an earlier process left it
     * @param seeds addresses of controllers that the settings name
     */
    public ControllerNode(
            FleetEnvironment environment,
            NodeContext context,
            SimulatedDisk disk,
            List<String> seeds,
            StartKind startKind,
            Observer observer) {
        simulation = environment.simulation();
        plan = environment.plan();
        checkers = environment.checkers();
        overrides = environment.overrides();
        this.context = context;
        simulatedDisk = disk;
        this.disk = overrides.disk(context.name(), disk);
        this.seeds = seeds;
        this.startKind = startKind;
        this.observer = observer;
        loop = new SimulatedEventLoop(context);
    }

    @Override
    public void start(long now) {
        runEvent(now, this::openStorage);
    }

    private void openStorage() {
        long beginNanos = simulation.now();
        simulatedDisk.beginCalls(beginNanos);
        try {
            RegisterStorage storage = RegisterStorage.open(
                    disk,
                    context.address(),
                    seeds,
                    startKind == StartKind.FIRST_OF_FLEET,
                    this::generateDiskIdentity,
                    plan.segmentBytes());
            loop.schedule(simulatedDisk.callsDoneNanos() - beginNanos, () -> run(storage));
        } catch (IOException diskFailure) {
            loop.schedule(REOPEN_DELAY_NANOS, this::openStorage);
        }
    }

    private String generateDiskIdentity() {
        return overrides.diskIdentity(
                context.address(), Long.toHexString(context.random().nextLong()));
    }

    private void run(RegisterStorage storage) {
        runtime = overrides.controllerCore(loop, context);
        connections = new SimulatedPeerConnections(
                context,
                loop,
                hello(storage),
                new ConnectionRecorder(overrides.controllerListener(runtime.listener())),
                this::onUnexpectedException);
        engineOrders = new SimulatedEngineOrders(context, loop, checkers.orders(), simulation, observer::onOrder);
        // The loop runs on the machine's monotonic clock, the disk on virtual time.
        SimulatedDiskExecutor diskExecutor =
                new SimulatedDiskExecutor(loop, simulatedDisk, simulation.now() - loop.nanoTime());
        ControlService service = runtime.start(
                settings(),
                storage,
                new ControllerRuntime.Environment(
                        connections, diskExecutor, overrides.engineOrders(engineOrders), context.random()));
        membership = new SimulatedMembership(context, loop, NodeRoles.CONTROLLER, seeds, runtime::onMembers);
        endpoint = new ControlEndpoint(
                context,
                loop,
                overrides.controlService(service, runtime, routerConnections),
                this::onUnexpectedException,
                observer);
        phase = Phase.RUNNING;
    }

    private String incarnation() {
        return Long.toHexString(context.incarnation());
    }

    private NodeMessage.Hello hello(RegisterStorage storage) {
        return new NodeMessage.Hello(
                context.name(),
                NodeRoles.CONTROLLER,
                context.address(),
                ZONE,
                storage.store().identity(),
                incarnation());
    }

    private ControllerSettings settings() {
        return new ControllerSettings(
                context.address(),
                ZONE,
                seeds,
                context.name() + "-" + incarnation(),
                FleetTimings.HEARTBEAT_INTERVAL_NANOS,
                FleetTimings.VERSION_LIMIT_MILLIS,
                overrides.leaseNanos(context.name(), FleetTimings.LEASE_NANOS),
                plan.tolerance());
    }

    /** Listener that records the connections to routers and when one to a controller was established. */
    private final class ConnectionRecorder implements PeerConnectionListener {
        private final PeerConnectionListener delegate;

        ConnectionRecorder(PeerConnectionListener delegate) {
            this.delegate = delegate;
        }

        @Override
        public void onConnected(PeerConnection connection) {
            if (connection.peerHello().role().equals(NodeRoles.ROUTER)) {
                routerConnections.add(connection);
            } else {
                peerUpNanos = simulation.now();
            }
            delegate.onConnected(connection);
        }

        @Override
        public void onMessage(PeerConnection connection, NodeMessage message) {
            delegate.onMessage(connection, message);
        }

        @Override
        public void onDisconnected(PeerConnection connection) {
            routerConnections.remove(connection);
            delegate.onDisconnected(connection);
        }
    }

    @Override
    public void onMessage(String from, Object message, long now) {
        runEvent(now, () -> {
            if (phase != Phase.OPENING) {
                dispatch(from, message);
            }
        });
    }

    private void dispatch(String from, Object message) {
        if (message instanceof ControlRequest request) {
            if (phase == Phase.RUNNING) {
                endpoint.onRequest(from, request);
            }
        } else if (message instanceof NodeSignals.Terminate) {
            phase = Phase.TERMINATING;
            membership.leave();
        } else if (message instanceof NodeSignals.ReloadSeeds settings) {
            runtime.addControllerAddresses(settings.seeds());
        } else if (message instanceof NodeSignals.BreakConnections broken) {
            connections.closeRandomly(broken.probability());
        } else if (message instanceof EngineResponse response) {
            engineOrders.onResponse(response);
        } else if (message instanceof byte[] datagram) {
            membership.onDatagram(from, datagram);
        } else {
            connections.onPacket(from, message);
        }
    }

    @Override
    public void onTimer(long now) {
        runEvent(now, () -> {});
    }

    private void runEvent(long now, Runnable action) {
        loop.beginEvent(now);
        try {
            action.run();
            loop.endEvent();
        } catch (RuntimeException unexpected) {
            onUnexpectedException(unexpected);
            loop.endEvent();
        }
        reportCommitted();
    }

    private void reportCommitted() {
        if (runtime != null && !runtime.committedProposalNumber().equals(reportedNumber)) {
            reportedNumber = runtime.committedProposalNumber();
            checkers.onCommitted(context.name(), reportedNumber, runtime.committedState());
        }
    }

    private void onUnexpectedException(Throwable exception) {
        checkers.onUnexpectedException(context.name(), exception);
    }

    /** Returns the version of the newest configuration that this controller has learned as committed. */
    public long knownVersion() {
        return runtime.committedState().configurationVersion();
    }

    /** Returns the virtual time at which a connection with another controller was last established; -1 if none was. */
    public long peerUpNanos() {
        return peerUpNanos;
    }

    /** Returns the proposal number of the newest value that this controller has learned as committed. */
    public ProposalNumber committedNumber() {
        return reportedNumber;
    }

    /** Marks the kill of this process, which the caller must do next, as a power loss. */
    public void losePower() {
        powerLost = true;
    }

    @Override
    public void onKilled() {
        if (powerLost) {
            simulatedDisk.onPowerLoss(simulation.now());
            return;
        }
        simulatedDisk.onProcessKilled(simulation.now());
        if (phase != Phase.OPENING) {
            connections.onProcessKilled();
        }
    }
}
