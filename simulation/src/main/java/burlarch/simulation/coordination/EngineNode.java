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
import burlarch.simulation.coordination.Calls.ControlAnswer;
import burlarch.simulation.coordination.Calls.EngineAnswer;
import burlarch.simulation.coordination.Calls.EngineRequest;
import burlarch.simulation.link.SimulatedLoop;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * An instance: announces itself, drains, leaves, and comes again as another incarnation. An engine loads
 * weights and lives for a short time; a plain instance has none, so that its heartbeats change nothing, and
 * lives for longer than an instance is let be silent.
 */
final class EngineNode implements SimulatedNode {
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
    private final Rules rules;
    private final SimulatedLoop loop;
    private final ControlCaller caller;
    private final boolean plain;
    private final Supplier<Optional<String>> lure;
    private final Triggers triggers;
    private String id;
    private InstanceState state;
    private long sequence;
    private long version;
    private long orders;
    private long fence;
    private boolean busy;
    private int lives;

    private EngineNode(
            NodeContext context,
            Rules rules,
            Supplier<List<String>> controllers,
            Supplier<Optional<String>> lure,
            Triggers triggers,
            boolean plain) {
        this.context = context;
        this.rules = rules;
        this.lure = lure;
        this.triggers = triggers;
        this.plain = plain;
        loop = new SimulatedLoop(context);
        caller = new ControlCaller(context, loop, controllers);
    }

    /**
     * An instance that loads weights.
     *
     * @param controllers addresses of all that are in use
     * @param lure the controller that this one reports to first, if any
     */
    static EngineNode engine(
            NodeContext context,
            Rules rules,
            Supplier<List<String>> controllers,
            Supplier<Optional<String>> lure,
            Triggers triggers) {
        return new EngineNode(context, rules, controllers, lure, triggers, false);
    }

    /** An instance without weights. Parameters as for {@link #engine}. */
    static EngineNode plain(
            NodeContext context,
            Rules rules,
            Supplier<List<String>> controllers,
            Supplier<Optional<String>> lure,
            Triggers triggers) {
        return new EngineNode(context, rules, controllers, lure, triggers, true);
    }

    @Override
    public void start(long now) {
        loop.enter(now);
        live();
        loop.leave();
    }

    private void live() {
        int life = ++lives;
        id = context.name() + "-" + Long.toHexString(context.incarnation()) + "-" + life;
        state = InstanceState.READY;
        sequence = 0;
        orders = 0;
        fence = 0;
        busy = false;
        version = Math.max(version, rules.operators().newestWeights(MODEL));
        caller.chooseAnew();
        announce(life);
        long spread = context.random().nextInt(LIFE_SPREAD_MILLIS) * Simulation.MILLISECOND;
        loop.schedule((plain ? SHORTEST_PLAIN_LIFE : SHORTEST_LIFE) + spread, () -> end(life));
    }

    boolean isEnding() {
        return state != InstanceState.READY;
    }

    private void end(int life) {
        if (life != lives || state != InstanceState.READY) {
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
        if (life != lives || state != InstanceState.READY) {
            return;
        }
        loop.schedule(FleetPlan.HEARTBEAT_NANOS, () -> announce(life));
        lure.get().ifPresent(controller -> caller.prefer(controller, false));
        String announced = id;
        caller.call(new ControlAction.Announce(instance()), FleetPlan.HEARTBEAT_NANOS, answer -> {
            if (answer != null && answer.succeeded() && life == lives && state == InstanceState.READY) {
                onHeard(announced, life);
                triggers.fire(Triggers.Event.TAKEN);
            }
        });
    }

    private void onHeard(String announced, int life) {
        String controller = FleetPlan.controllerAt(caller.lastController());
        rules.instances().onAnnounced(announced, controller);
        rules.routers().onHeard(announced, controller, () -> life == lives && state == InstanceState.READY);
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
        rules.routers().onDrained(instance, controller);
        if (rules.routers().inTouch(controller)) {
            rules.instances().onEnded(instance);
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
            loop.schedule(REUSE_AFTER, this::live);
        });
    }

    @Override
    public void onMessage(String from, Object message, long now) {
        loop.enter(now);
        if (message instanceof ControlAnswer answer) {
            caller.onAnswer(answer);
        } else if (message instanceof Signals.Drain) {
            end(lives);
        } else if (message instanceof EngineRequest request && state != InstanceState.GONE) {
            context.send(
                    from,
                    request.order() == null
                            ? new EngineAnswer(
                                    request.id(),
                                    null,
                                    new EngineReport(
                                            List.of(new ServedModel(MODEL, version)), busy, orders, 0, 0, 0, 1))
                            : new EngineAnswer(request.id(), take(request.instance(), request.order()), null));
        }
        loop.leave();
    }

    private OrderResult take(String instance, WeightsOrder order) {
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
        triggers.fire(Triggers.Event.TAKEN);
        busy = true;
        int life = lives;
        loop.schedule(LOAD_NANOS, () -> {
            if (life == lives) {
                busy = false;
                version = Math.max(version, order.version());
            }
        });
        return OrderResult.ACCEPTED;
    }

    @Override
    public void end() {
        lives++;
        rules.instances().onEnding(id);
    }

    @Override
    public void onTimer(long now) {
        loop.enter(now);
        loop.leave();
    }
}
