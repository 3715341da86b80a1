package burlarch.simulation.coordination.node;

import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.ConfigurationPatch;
import burlarch.configuration.InvalidConfigurationException;
import burlarch.controller.state.AppliedChange;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.check.FleetCheckers;
import burlarch.simulation.coordination.node.CallMessages.ControlResponse;
import burlarch.simulation.coordination.plan.FleetNames;
import burlarch.simulation.transport.SimulatedEventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;

/**
 * Simulated operator, which makes one call after the other, randomly drawn from valid and invalid changes, retries of
 * earlier changes, reads and new weights versions. Operators share their state, so their changes compete for the same
 * base version. Reports each response to the checkers.
 */
public final class OperatorNode implements SimulatedNode {
    private static final long CALL_LIMIT_NANOS = 12 * Simulation.SECOND;
    private static final int MAX_PAUSE_MILLIS = 300;
    private static final int MAX_VERSION_STEP = 3;
    private static final int MAX_SCRIPTED_CALLS = 8;

    private static final int PERCENT = 100;
    // Exclusive upper bounds of each kind of call in a draw from 0 to 99; the rest names weights, or reads if that is
    // not
    // allowed.
    private static final int PUT_BOUND = 35;
    private static final int PATCH_BOUND = 60;
    private static final int INVALID_BOUND = 65;
    private static final int READ_BOUND = 85;
    private static final int REPEAT_BOUND = 94;

    private final NodeContext context;
    private final Simulation simulation;
    private final FleetCheckers checkers;
    private final EventTriggers triggers;
    private final SharedOperatorState shared;
    private final SimulatedEventLoop loop;
    private final ControlClient client;
    private final Deque<NodeSignals.Call> scriptedCalls = new ArrayDeque<>();
    private long bodyCount;

    /** @param controllers addresses of the controllers, as they are when a request is sent */
    public OperatorNode(
            FleetEnvironment environment,
            NodeContext context,
            SharedOperatorState shared,
            Supplier<List<String>> controllers) {
        this.context = context;
        this.shared = shared;
        simulation = environment.simulation();
        checkers = environment.checkers();
        triggers = environment.triggers();
        loop = new SimulatedEventLoop(context);
        client = new ControlClient(context, loop, controllers, shared::responseLossProbability);
    }

    @Override
    public void start(long now) {
        loop.beginEvent(now);
        loop.schedule(Simulation.SECOND, this::act);
        loop.endEvent();
    }

    private void pause() {
        loop.schedule((1 + context.random().nextInt(MAX_PAUSE_MILLIS)) * Simulation.MILLISECOND, this::act);
    }

    private void act() {
        client.clearPreference();
        NodeSignals.Call scripted = scriptedCalls.poll();
        if (scripted != null && shared.knownVersion() > 0) {
            makeScriptedCall(scripted);
        } else {
            makeDrawnCall();
        }
    }

    private void makeDrawnCall() {
        long known = shared.knownVersion();
        int draw = context.random().nextInt(PERCENT);
        if (known == 0 || draw < PUT_BOUND) {
            put(known, drawNewVersion(known));
        } else if (draw < PATCH_BOUND) {
            patch(known, drawNewVersion(known));
        } else if (draw < INVALID_BOUND) {
            makeInvalidCall();
        } else if (draw < READ_BOUND) {
            read();
        } else if (draw < REPEAT_BOUND && shared.lastAcknowledged() != null) {
            change(shared.lastAcknowledged());
        } else if (shared.mayNameWeights(simulation.now())) {
            nameNextWeights();
        } else {
            read();
        }
    }

    private long drawNewVersion(long known) {
        return known + 1 + context.random().nextInt(MAX_VERSION_STEP);
    }

    private void makeScriptedCall(NodeSignals.Call scripted) {
        scripted.controller().ifPresent(address -> {
            switch (scripted.retryTarget()) {
                case ANY -> client.preferOnce(address);
                case SAME -> client.preferUntilAnswered(address);
            }
        });
        switch (scripted.kind()) {
            case PUT -> put(shared.knownVersion(), shared.knownVersion() + 1);
            case INVALID -> makeInvalidCall();
            case LARGE -> patchMany();
            case WEIGHTS -> nameNextWeights();
        }
    }

    /** Makes a call that every state rejects: the current version again, an outdated base, or an invalid body. */
    private void makeInvalidCall() {
        long known = shared.knownVersion();
        switch (context.random().nextInt(3)) {
            case 0 -> putInvalid(known, known);
            case 1 -> putInvalid(Math.max(0, known - 1), known + 1);
            default -> putBroken(known);
        }
    }

    private void putBroken(long known) {
        int kind = context.random().nextInt(ConfigurationBodies.BROKEN_KINDS);
        byte[] body = ConfigurationBodies.broken(kind, known + 1, nextBodyTag());
        client.call(new ControlAction.Put(body, known), CALL_LIMIT_NANOS, response -> {
            if (response.filter(ControlResponse::succeeded).isPresent()) {
                checkers.operators().onBrokenAcknowledged();
            }
            pause();
        });
    }

    private void put(long ifMatch, long version) {
        change(createPut(ifMatch, version));
    }

    private void putInvalid(long ifMatch, long version) {
        OperatorChange change = createPut(ifMatch, version);
        checkers.operators().onInvalid(change.change());
        change(change);
    }

    private OperatorChange createPut(long ifMatch, long version) {
        byte[] body = ConfigurationBodies.configuration(version, nextBodyTag());
        try {
            AppliedChange change = AppliedChange.put(
                    ifMatch, version, ConfigurationDocument.parse(body).digest());
            return new OperatorChange(new ControlAction.Put(body, ifMatch), change, ifMatch);
        } catch (InvalidConfigurationException invalid) {
            throw new IllegalStateException(invalid);
        }
    }

    private void patch(long ifMatch, long version) {
        patch(ifMatch, version, ConfigurationBodies.patch(version, nextBodyTag()));
    }

    private void patchMany() {
        long known = shared.knownVersion();
        patch(known, known + 1, ConfigurationBodies.largePatch(known + 1, nextBodyTag()));
    }

    private void patch(long ifMatch, long version, byte[] body) {
        try {
            AppliedChange change = AppliedChange.patch(
                    ifMatch, version, ConfigurationPatch.parse(body).digest());
            change(new OperatorChange(new ControlAction.Patch(body, ifMatch), change, ifMatch));
        } catch (InvalidConfigurationException invalid) {
            throw new IllegalStateException(invalid);
        }
    }

    private String nextBodyTag() {
        return context.name() + "-" + ++bodyCount;
    }

    private void change(OperatorChange requested) {
        long begunNanos = simulation.now();
        client.call(requested.action(), CALL_LIMIT_NANOS, response -> {
            reportEnd(requested.change().toString(), begunNanos);
            if (response.isEmpty()) {
                pause();
            } else if (response.get().succeeded()) {
                onAcknowledged(requested);
                pause();
            } else {
                checkers.operators()
                        .onRejected(requested.change(), response.get().status());
                read();
            }
        });
        triggers.fire(EventTriggers.Event.SENT);
    }

    private void onAcknowledged(OperatorChange acknowledged) {
        AppliedChange change = acknowledged.change();
        shared.onAcknowledged(acknowledged, simulation.now());
        checkers.operators().onAcknowledged(change, acknowledged.ifMatch());
        checkers.routers().onChangeAcknowledged(change.version(), FleetNames.controllerAt(client.lastController()));
        triggers.fire(EventTriggers.Event.ACKNOWLEDGED);
    }

    /** Reports the duration of a call, unless a response was lost, because the fleet did not cause that delay. */
    private void reportEnd(String call, long begunNanos) {
        if (!client.hasLostResponse()) {
            checkers.operators().onCallEnded(call, begunNanos, simulation.now());
        }
    }

    private void read() {
        long expected = checkers.operators().newestKnown();
        client.clearPreference();
        client.call(new ControlAction.Read(), CALL_LIMIT_NANOS, response -> {
            response.ifPresent(received -> {
                if (received.succeeded()) {
                    onRead(received, expected);
                } else {
                    checkers.operators().onReadRejected(received.status(), expected);
                }
            });
            pause();
        });
    }

    private void onRead(ControlResponse response, long expected) {
        try {
            long version = ConfigurationDocument.parseTrusted(response.body()).version();
            checkers.operators().onRead(version, response.body(), expected);
            shared.onRead(version, simulation.now());
        } catch (InvalidConfigurationException unreadable) {
            checkers.operators().onUnreadable();
        }
    }

    private void nameNextWeights() {
        long version = checkers.operators().newestWeights(InstanceNode.MODEL) + 1;
        long begunNanos = simulation.now();
        client.call(new ControlAction.NameWeights(InstanceNode.MODEL, version), CALL_LIMIT_NANOS, response -> {
            reportEnd("weights " + version, begunNanos);
            if (response.filter(ControlResponse::succeeded).isPresent()) {
                checkers.operators().onWeightsAcknowledged(InstanceNode.MODEL, version);
            }
            pause();
        });
    }

    @Override
    public void onMessage(String from, Object message, long now) {
        loop.beginEvent(now);
        if (message instanceof ControlResponse response) {
            client.onResponse(response);
        } else if (message instanceof NodeSignals.Call call && scriptedCalls.size() < MAX_SCRIPTED_CALLS) {
            scriptedCalls.add(call);
        }
        loop.endEvent();
    }

    @Override
    public void onTimer(long now) {
        loop.beginEvent(now);
        loop.endEvent();
    }
}
