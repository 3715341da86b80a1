package burlarch.simulation.coordination;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.registry.InstanceState;
import burlarch.coordination.rollout.EngineReport;
import burlarch.coordination.rollout.OrderResult;
import burlarch.engine.WeightsOrder;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.CallMessages.ControlResponse;
import burlarch.simulation.coordination.CallMessages.EngineRequest;
import burlarch.simulation.coordination.CallMessages.EngineResponse;
import burlarch.simulation.link.SimulatedLoop;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * An instance: announces itself, drains, leaves, and comes again as another incarnation. An engine loads
 * weights and lives for a short time; a plain instance has none, so that its heartbeats change nothing, and
 * lives for longer than an instance is let be silent.
 */
final class InstanceNode implements SimulatedNode {
    static final String MODEL = "model-1";

    private static final long SHORTEST_LIFE = 4 * Simulation.SECOND;
    private static final int LIFE_SPREAD_MILLIS = 12_000;
    private static final long SHORTEST_PLAIN_LIFE = 20 * Simulation.SECOND;
    /** One instance in so many leaves without having drained. */
    private static final int ONE_SUDDEN_IN = 4;

    private static final long SERVES_ON = 2 * Simulation.SECOND;
    private static final long REUSE_AFTER = 2 * Simulation.SECOND;
    private static final long LOAD_NANOS = Simulation.SECOND;
    private static final long DRAIN_LIMIT = 6 * Simulation.SECOND;

    private final NodeContext context;
    private final FleetCheckers rules;
    private final SimulatedLoop loop;
    private final ControlClient caller;
    private final boolean plain;
    private final Supplier<Optional<String>> lure;
    private final EventTriggers triggers;
    private String id;
    private InstanceState state;
    private long sequence;
    private long version;
    private long orders;
    private long fence;
    private boolean busy;
    private int incarnation;

    private InstanceNode(
            NodeContext context,
            FleetCheckers rules,
            Supplier<List<String>> controllers,
            Supplier<Optional<String>> lure,
            EventTriggers triggers,
            boolean plain) {
        this.context = context;
        this.rules = rules;
        this.lure = lure;
        this.triggers = triggers;
        this.plain = plain;
        loop = new SimulatedLoop(context);
        caller = new ControlClient(context, loop, controllers);
    }

    /**
     * An instance that loads weights.
     *
     * @param controllers addresses of all that are in use
     * @param lure the controller that this one reports to first, if any
     */
    static InstanceNode engine(
            NodeContext context,
            FleetCheckers rules,
            Supplier<List<String>> controllers,
            Supplier<Optional<String>> lure,
            EventTriggers triggers) {
        return new InstanceNode(context, rules, controllers, lure, triggers, false);
    }

    /** An instance without weights. Parameters as for {@link #engine}. */
    static InstanceNode plain(
            NodeContext context,
            FleetCheckers rules,
            Supplier<List<String>> controllers,
            Supplier<Optional<String>> lure,
            EventTriggers triggers) {
        return new InstanceNode(context, rules, controllers, lure, triggers, true);
    }

    @Override
    public void start(long now) {
        loop.beginEvent(now);
        beginIncarnation();
        loop.endEvent();
    }

    private void beginIncarnation() {
        int life = ++incarnation;
        id = context.name() + "-" + Long.toHexString(context.incarnation()) + "-" + life;
        state = InstanceState.READY;
        sequence = 0;
        orders = 0;
        fence = 0;
        busy = false;
        version = Math.max(version, rules.operators().newestWeights(MODEL));
        caller.clearPreference();
        announce(life);
        long spread = context.random().nextInt(LIFE_SPREAD_MILLIS) * Simulation.MILLISECOND;
        loop.schedule((plain ? SHORTEST_PLAIN_LIFE : SHORTEST_LIFE) + spread, () -> end(life));
    }

    boolean isEnding() {
        return state != InstanceState.READY;
    }

    private void end(int life) {
        if (life != incarnation || state != InstanceState.READY) {
            return;
        }
        rules.instances().onEnding(id);
        if (context.random().nextInt(ONE_SUDDEN_IN) == 0) {
            state = InstanceState.DRAINING;
            leave();
        } else {
            drain();
        }
    }

    private void announce(int life) {
        if (life != incarnation || state != InstanceState.READY) {
            return;
        }
        loop.schedule(FleetPlan.HEARTBEAT_INTERVAL_NANOS, () -> announce(life));
        lure.get().ifPresent(controller -> caller.prefer(controller, false));
        String announced = id;
        caller.call(new ControlAction.Announce(instance()), FleetPlan.HEARTBEAT_INTERVAL_NANOS, answer -> {
            if (answer != null && answer.succeeded() && life == incarnation && state == InstanceState.READY) {
                onHeard(announced, life);
                triggers.fire(EventTriggers.Event.TAKEN);
            }
        });
    }

    private void onHeard(String announced, int life) {
        String controller = FleetPlan.controllerAt(caller.lastController());
        rules.instances().onAnnouncementAcknowledged(announced, controller);
        rules.routers()
                .onHeartbeatAcknowledged(
                        announced, controller, () -> life == incarnation && state == InstanceState.READY);
    }

    private Instance instance() {
        return new Instance(
                id,
                "service-1",
                context.address(),
                "zone",
                "v1",
                8,
                state,
                0,
                plain ? List.of() : List.of(new ServedModel(MODEL, version)),
                ++sequence);
    }

    private void drain() {
        state = InstanceState.DRAINING;
        String draining = id;
        lure.get().ifPresent(controller -> caller.prefer(controller, false));
        caller.call(new ControlAction.Announce(instance()), DRAIN_LIMIT, answer -> {
            if (answer != null && answer.succeeded()) {
                acknowledgedEnd(draining);
            }
            loop.schedule(SERVES_ON, this::leave);
        });
    }

    private void acknowledgedEnd(String instance) {
        String controller = FleetPlan.controllerAt(caller.lastController());
        rules.routers().onEndAcknowledged(instance, controller);
        if (rules.routers().isConnected(controller)) {
            rules.instances().onEndAcknowledged(instance);
        }
    }

    private void leave() {
        String leaving = id;
        lure.get().ifPresent(controller -> caller.prefer(controller, false));
        caller.call(new ControlAction.Leave(leaving), DRAIN_LIMIT / 2, answer -> {
            if (answer != null && answer.succeeded()) {
                acknowledgedEnd(leaving);
            }
            state = InstanceState.GONE;
            loop.schedule(REUSE_AFTER, this::beginIncarnation);
        });
    }

    @Override
    public void onMessage(String from, Object message, long now) {
        loop.beginEvent(now);
        if (message instanceof ControlResponse answer) {
            caller.onResponse(answer);
        } else if (message instanceof NodeSignals.Drain) {
            end(incarnation);
        } else if (message instanceof EngineRequest request && state != InstanceState.GONE) {
            context.send(
                    from,
                    request.order() == null
                            ? new EngineResponse(
                                    request.id(),
                                    null,
                                    new EngineReport(
                                            List.of(new ServedModel(MODEL, version)), busy, orders, 0, 0, 0, 1))
                            : new EngineResponse(request.id(), accept(request.instance(), request.order()), null));
        }
        loop.endEvent();
    }

    private OrderResult accept(String instance, WeightsOrder order) {
        if (!id.equals(instance)) {
            return OrderResult.MISDIRECTED;
        }
        if (order.fenceToken() < fence) {
            return OrderResult.FENCED;
        }
        fence = order.fenceToken();
        if (busy || order.ifRevision() != WeightsOrder.ANY_REVISION && order.ifRevision() != orders) {
            return OrderResult.CONFLICT;
        }
        if (version == order.version()) {
            return OrderResult.ALREADY_LOADED;
        }
        orders++;
        triggers.fire(EventTriggers.Event.TAKEN);
        busy = true;
        int life = incarnation;
        loop.schedule(LOAD_NANOS, () -> {
            if (life == incarnation) {
                busy = false;
                version = Math.max(version, order.version());
            }
        });
        return OrderResult.ACCEPTED;
    }

    @Override
    public void onKilled() {
        incarnation++;
        rules.instances().onEnding(id);
    }

    @Override
    public void onTimer(long now) {
        loop.beginEvent(now);
        loop.endEvent();
    }
}
