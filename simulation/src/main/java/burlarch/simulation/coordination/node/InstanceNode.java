package burlarch.simulation.coordination.node;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.registry.InstanceState;
import burlarch.coordination.rollout.EngineReport;
import burlarch.coordination.rollout.OrderResult;
import burlarch.engine.WeightsOrder;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.check.FleetCheckers;
import burlarch.simulation.coordination.node.CallMessages.ControlResponse;
import burlarch.simulation.coordination.node.CallMessages.EngineRequest;
import burlarch.simulation.coordination.node.CallMessages.EngineResponse;
import burlarch.simulation.coordination.plan.FleetNames;
import burlarch.simulation.coordination.plan.FleetTimings;
import burlarch.simulation.transport.SimulatedEventLoop;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Simulated process of an instance, which runs one incarnation after the other. An incarnation goes through these
 * states:
 *
 * <pre>
 * READY     announces itself at each heartbeat until its lifetime ends or a scenario drains it
 * DRAINING  announces that it drains, serves for some more time, then leaves; or leaves at once
 * GONE      after a pause the next incarnation is READY, under another id
 * </pre>
 *
 * <p>Timers and responses of an earlier incarnation have no effect.
 */
public final class InstanceNode implements SimulatedNode {
    /** Model whose weights engines load. */
    public static final String MODEL = "model-1";

    /** Kind of an instance. */
    public enum Kind {
        /** Loads weights; lives for a short time. */
        ENGINE(4 * Simulation.SECOND),
        /**
         * Has no weights, so that its heartbeats change no state; lives longer than controllers wait before they
         * consider a silent instance lost.
         */
        PLAIN(20 * Simulation.SECOND);

        private final long minLifetimeNanos;

        Kind(long minLifetimeNanos) {
            this.minLifetimeNanos = minLifetimeNanos;
        }
    }

    private static final int LIFETIME_SPREAD_MILLIS = 12_000;
    /** One of this many incarnations leaves without draining first. */
    private static final int LEAVES_PER_UNDRAINED_LEAVE = 4;

    private static final long SERVE_AFTER_DRAIN_NANOS = 2 * Simulation.SECOND;
    private static final long PAUSE_AFTER_LEAVE_NANOS = 2 * Simulation.SECOND;
    private static final long LOAD_NANOS = Simulation.SECOND;
    private static final long DRAIN_CALL_LIMIT_NANOS = 6 * Simulation.SECOND;
    private static final int CAPACITY = 8;

    private final NodeContext context;
    private final FleetCheckers checkers;
    private final EventTriggers triggers;
    private final Kind kind;
    private final Supplier<Optional<String>> preferredController;
    private final SimulatedEventLoop loop;
    private final ControlClient client;
    private String id;
    private InstanceState state;
    private long sequence;
    private long weightsVersion;
    private long acceptedOrders;
    private long highestFencingToken;
    private boolean loading;
    private int incarnation;

    /**
     * Creates the process.
     *
     * @param controllers addresses of the controllers, as they are when a request is sent
     * @param preferredController address of the controller that is called first, if there is one
     */
    public InstanceNode(
            FleetEnvironment environment,
            NodeContext context,
            Kind kind,
            Supplier<List<String>> controllers,
            Supplier<Optional<String>> preferredController) {
        this.context = context;
        this.kind = kind;
        this.preferredController = preferredController;
        checkers = environment.checkers();
        triggers = environment.triggers();
        loop = new SimulatedEventLoop(context);
        client = new ControlClient(context, loop, controllers);
    }

    @Override
    public void start(long now) {
        loop.beginEvent(now);
        beginIncarnation();
        loop.endEvent();
    }

    private void beginIncarnation() {
        int currentIncarnation = ++incarnation;
        id = context.name() + "-" + Long.toHexString(context.incarnation()) + "-" + currentIncarnation;
        state = InstanceState.READY;
        sequence = 0;
        acceptedOrders = 0;
        highestFencingToken = 0;
        loading = false;
        weightsVersion = Math.max(weightsVersion, checkers.operators().newestWeights(MODEL));
        client.clearPreference();
        announce(currentIncarnation);
        long lifetimeSpreadNanos = context.random().nextInt(LIFETIME_SPREAD_MILLIS) * Simulation.MILLISECOND;
        loop.schedule(kind.minLifetimeNanos + lifetimeSpreadNanos, () -> endIncarnation(currentIncarnation));
    }

    /** Returns whether the current incarnation is draining or gone. */
    public boolean isEnding() {
        return state != InstanceState.READY;
    }

    private boolean isReady(int expectedIncarnation) {
        return expectedIncarnation == incarnation && state == InstanceState.READY;
    }

    private void endIncarnation(int endingIncarnation) {
        if (!isReady(endingIncarnation)) {
            return;
        }
        checkers.instances().onEnding(id);
        if (context.random().nextInt(LEAVES_PER_UNDRAINED_LEAVE) == 0) {
            state = InstanceState.DRAINING;
            leave();
        } else {
            drain();
        }
    }

    private void announce(int announcingIncarnation) {
        if (!isReady(announcingIncarnation)) {
            return;
        }
        loop.schedule(FleetTimings.HEARTBEAT_INTERVAL_NANOS, () -> announce(announcingIncarnation));
        preferredController.get().ifPresent(client::preferOnce);
        String announcedId = id;
        ControlAction action = new ControlAction.Announce(instance());
        client.call(action, FleetTimings.HEARTBEAT_INTERVAL_NANOS, response -> {
            if (succeeded(response) && isReady(announcingIncarnation)) {
                onAnnouncementAcknowledged(announcedId, announcingIncarnation);
                triggers.fire(EventTriggers.Event.TAKEN);
            }
        });
    }

    private static boolean succeeded(Optional<ControlResponse> response) {
        return response.filter(ControlResponse::succeeded).isPresent();
    }

    private void onAnnouncementAcknowledged(String announcedId, int announcingIncarnation) {
        String controller = FleetNames.controllerAt(client.lastController());
        checkers.instances().onAnnouncementAcknowledged(announcedId, controller);
        checkers.routers().onHeartbeatAcknowledged(announcedId, controller, () -> isReady(announcingIncarnation));
    }

    private Instance instance() {
        List<ServedModel> models = kind == Kind.PLAIN ? List.of() : List.of(new ServedModel(MODEL, weightsVersion));
        return new Instance(id, "service-1", context.address(), "zone", "v1", CAPACITY, state, 0, models, ++sequence);
    }

    private void drain() {
        state = InstanceState.DRAINING;
        String drainingId = id;
        preferredController.get().ifPresent(client::preferOnce);
        client.call(new ControlAction.Announce(instance()), DRAIN_CALL_LIMIT_NANOS, response -> {
            if (succeeded(response)) {
                onEndAcknowledged(drainingId);
            }
            loop.schedule(SERVE_AFTER_DRAIN_NANOS, this::leave);
        });
    }

    private void leave() {
        String leavingId = id;
        preferredController.get().ifPresent(client::preferOnce);
        client.call(new ControlAction.Leave(leavingId), DRAIN_CALL_LIMIT_NANOS / 2, response -> {
            if (succeeded(response)) {
                onEndAcknowledged(leavingId);
            }
            state = InstanceState.GONE;
            loop.schedule(PAUSE_AFTER_LEAVE_NANOS, this::beginIncarnation);
        });
    }

    private void onEndAcknowledged(String instance) {
        String controller = FleetNames.controllerAt(client.lastController());
        checkers.routers().onEndAcknowledged(instance, controller);
        if (checkers.routers().isConnected(controller)) {
            checkers.instances().onEndAcknowledged(instance);
        }
    }

    @Override
    public void onMessage(String from, Object message, long now) {
        loop.beginEvent(now);
        if (message instanceof ControlResponse response) {
            client.onResponse(response);
        } else if (message instanceof NodeSignals.Drain) {
            endIncarnation(incarnation);
        } else if (message instanceof EngineRequest request && state != InstanceState.GONE) {
            context.send(from, respond(request));
        }
        loop.endEvent();
    }

    private EngineResponse respond(EngineRequest request) {
        if (!request.isReportRequest()) {
            return new EngineResponse(request.id(), onOrder(request.instance(), request.order()), null);
        }
        List<ServedModel> models = List.of(new ServedModel(MODEL, weightsVersion));
        EngineReport report = new EngineReport(models, loading, acceptedOrders, 0, 0, 0, 1);
        return new EngineResponse(request.id(), null, report);
    }

    /** Accepts an order unless it is for another instance, has an old fencing token, or is based on an old report. */
    private OrderResult onOrder(String instance, WeightsOrder order) {
        if (!id.equals(instance)) {
            return OrderResult.MISDIRECTED;
        }
        if (order.fenceToken() < highestFencingToken) {
            return OrderResult.FENCED;
        }
        highestFencingToken = order.fenceToken();
        boolean outdated = order.ifRevision() != WeightsOrder.ANY_REVISION && order.ifRevision() != acceptedOrders;
        if (loading || outdated) {
            return OrderResult.CONFLICT;
        }
        if (weightsVersion == order.version()) {
            return OrderResult.ALREADY_LOADED;
        }
        acceptedOrders++;
        checkers.orders().onAccepted(id, order, weightsVersion);
        triggers.fire(EventTriggers.Event.TAKEN);
        load(order.version());
        return OrderResult.ACCEPTED;
    }

    private void load(long version) {
        loading = true;
        int currentIncarnation = incarnation;
        loop.schedule(LOAD_NANOS, () -> {
            if (currentIncarnation == incarnation) {
                loading = false;
                weightsVersion = version;
            }
        });
    }

    @Override
    public void onKilled() {
        incarnation++;
        checkers.instances().onEnding(id);
    }

    @Override
    public void onTimer(long now) {
        loop.beginEvent(now);
        loop.endEvent();
    }
}
