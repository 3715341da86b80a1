package burlarch.simulation.coordination;

import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.ConfigurationPatch;
import burlarch.configuration.InvalidConfiguration;
import burlarch.controller.state.AppliedChange;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.CallMessages.ControlResponse;
import burlarch.simulation.link.SimulatedLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;

/** An operator: changes, races, sends again, reads back. */
final class OperatorNode implements SimulatedNode {
    private static final long LIMIT = 12 * Simulation.SECOND;
    private static final int LONGEST_PAUSE_MILLIS = 300;
    private static final int LONGEST_STEP = 3;
    private static final int PERCENT = 100;
    private static final int MOST_WISHES = 8;
    private static final long WEIGHTS_PERIOD = 20 * Simulation.SECOND;
    private static final long WEIGHTS_SPAN = 6 * Simulation.SECOND;

    /** What operators tell one another. */
    static final class SharedOperatorState {
        private long known;
        private ControlAction lastAction;
        private AppliedChange lastChange;
        private long lastIfMatch;
        private long lastAcknowledgedAt;
        private long lastReadAt;
        private double lostShare;
        private final boolean oftenNamesWeights;

        /** @param oftenNamesWeights whether weights are named all the time, or now and then */
        SharedOperatorState(boolean oftenNamesWeights) {
            this.oftenNamesWeights = oftenNamesWeights;
        }

        /** Long pauses between new weights let registrations grow old. */
        private boolean namesWeights(long now) {
            return oftenNamesWeights || now % WEIGHTS_PERIOD < WEIGHTS_SPAN;
        }

        /** From now on this share of the acknowledgements is lost on its last step. */
        void loseAnswers(double share) {
            lostShare = share;
        }

        /** When an operator got the last acknowledgement. */
        long lastAcknowledgedAt() {
            return lastAcknowledgedAt;
        }

        /** When the last read came back. */
        long lastReadAt() {
            return lastReadAt;
        }
    }

    private final NodeContext context;
    private final Simulation simulation;
    private final FleetCheckers rules;
    private final SharedOperatorState shared;
    private final SimulatedLoop loop;
    private final ControlClient caller;
    private final EventTriggers triggers;
    private final Deque<NodeSignals.Call> scriptedCalls = new ArrayDeque<>();
    private long marker;

    OperatorNode(
            NodeContext context,
            Simulation simulation,
            FleetCheckers rules,
            SharedOperatorState book,
            Supplier<List<String>> controllers,
            EventTriggers triggers) {
        this.triggers = triggers;
        this.context = context;
        this.simulation = simulation;
        this.rules = rules;
        this.shared = book;
        loop = new SimulatedLoop(context);
        caller = new ControlClient(context, loop, controllers, () -> book.lostShare);
    }

    @Override
    public void start(long now) {
        loop.beginEvent(now);
        loop.schedule(Simulation.SECOND, this::act);
        loop.endEvent();
    }

    private void pause() {
        loop.schedule((1 + context.random().nextInt(LONGEST_PAUSE_MILLIS)) * Simulation.MILLISECOND, this::act);
    }

    private void act() {
        caller.clearPreference();
        NodeSignals.Call wish = scriptedCalls.poll();
        if (wish != null && shared.known > 0) {
            call(wish);
            return;
        }
        int draw = context.random().nextInt(PERCENT);
        if (shared.known == 0 || draw < 35) {
            put(shared.known, shared.known + 1 + context.random().nextInt(LONGEST_STEP), true);
        } else if (draw < 60) {
            patch(shared.known, shared.known + 1 + context.random().nextInt(LONGEST_STEP));
        } else if (draw < 65) {
            invalid();
        } else if (draw < 85) {
            read();
        } else if (draw < 94 && shared.lastAction != null) {
            send(shared.lastAction, shared.lastChange, shared.lastIfMatch);
        } else if (shared.namesWeights(simulation.now())) {
            nameWeights(rules.operators().newestWeights(InstanceNode.MODEL) + 1);
        } else {
            read();
        }
    }

    private void call(NodeSignals.Call wish) {
        if (wish.controller() != null) {
            caller.prefer(wish.controller(), wish.persistent());
        }
        switch (wish.kind()) {
            case PUT -> put(shared.known, shared.known + 1, true);
            case INVALID -> invalid();
            case LARGE -> large();
            default -> nameWeights(rules.operators().newestWeights(InstanceNode.MODEL) + 1);
        }
    }

    /** What no state may take: the version in force again, a base that is past, a body that breaks rules. */
    private void invalid() {
        switch (context.random().nextInt(3)) {
            case 0 -> put(shared.known, shared.known, false);
            case 1 -> put(Math.max(0, shared.known - 1), shared.known + 1, false);
            default -> {
                int kind = context.random().nextInt(ConfigurationBodies.BROKEN);
                byte[] body = ConfigurationBodies.broken(kind, shared.known + 1, mark());
                caller.call(new ControlAction.Put(body, shared.known), LIMIT, answer -> {
                    if (answer != null && answer.succeeded()) {
                        rules.violations().add(OperatorChecker.INVALID, "acknowledged a broken configuration");
                    }
                    pause();
                });
            }
        }
    }

    private void large() {
        long version = shared.known + 1;
        byte[] body = ConfigurationBodies.large(version, mark());
        try {
            AppliedChange change = AppliedChange.patch(
                    shared.known, version, ConfigurationPatch.read(body).digest());
            send(new ControlAction.Patch(body, shared.known), change, shared.known);
        } catch (InvalidConfiguration invalid) {
            throw new IllegalStateException(invalid);
        }
    }

    private String mark() {
        return context.name() + "-" + ++marker;
    }

    private void put(long ifMatch, long version, boolean valid) {
        byte[] body = ConfigurationBodies.configuration(version, mark());
        try {
            AppliedChange change = AppliedChange.put(
                    ifMatch, version, ConfigurationDocument.read(body).digest());
            if (!valid) {
                rules.operators().onInvalid(change);
            }
            send(new ControlAction.Put(body, ifMatch), change, ifMatch);
        } catch (InvalidConfiguration invalid) {
            throw new IllegalStateException(invalid);
        }
    }

    private void patch(long ifMatch, long version) {
        byte[] body = ConfigurationBodies.patch(version, mark());
        try {
            AppliedChange change = AppliedChange.patch(
                    ifMatch, version, ConfigurationPatch.read(body).digest());
            send(new ControlAction.Patch(body, ifMatch), change, ifMatch);
        } catch (InvalidConfiguration invalid) {
            throw new IllegalStateException(invalid);
        }
    }

    private void send(ControlAction action, AppliedChange change, long ifMatch) {
        long begun = simulation.now();
        caller.call(action, LIMIT, answer -> {
            noteEnd(change.toString(), begun);
            if (answer == null) {
                pause();
            } else if (answer.succeeded()) {
                shared.known = Math.max(shared.known, change.version());
                shared.lastAction = action;
                shared.lastChange = change;
                shared.lastIfMatch = ifMatch;
                shared.lastAcknowledgedAt = simulation.now();
                rules.operators().onAcknowledged(change, ifMatch);
                rules.routers().onChangeAcknowledged(change.version(), FleetPlan.controllerAt(caller.lastController()));
                triggers.fire(EventTriggers.Event.ACKNOWLEDGED);
                pause();
            } else {
                rules.operators().onRejected(change, answer.status());
                read();
            }
        });
        triggers.fire(EventTriggers.Event.SENT);
    }

    private void noteEnd(String call, long begun) {
        if (!caller.hasLostResponse()) {
            rules.operators().onCallEnded(call, begun, simulation.now());
        }
    }

    private void read() {
        long expected = rules.operators().newestKnown();
        caller.clearPreference();
        caller.call(new ControlAction.Read(), LIMIT, answer -> {
            if (answer != null && answer.succeeded()) {
                onRead(answer, expected);
            } else if (answer != null) {
                rules.operators().onReadRejected(answer.status(), expected);
            }
            pause();
        });
    }

    private void onRead(ControlResponse answer, long expected) {
        try {
            long version = ConfigurationDocument.parseTrusted(answer.body()).version();
            rules.operators().onRead(version, answer.body(), expected);
            shared.known = Math.max(shared.known, version);
            shared.lastReadAt = simulation.now();
        } catch (InvalidConfiguration unreadable) {
            rules.violations().add(OperatorChecker.LOST, "what was read is no configuration");
        }
    }

    private void nameWeights(long version) {
        long begun = simulation.now();
        caller.call(new ControlAction.NameWeights(InstanceNode.MODEL, version), LIMIT, answer -> {
            noteEnd("weights " + version, begun);
            if (answer != null && answer.succeeded()) {
                rules.operators().onWeightsAcknowledged(InstanceNode.MODEL, version);
            }
            pause();
        });
    }

    @Override
    public void onMessage(String from, Object message, long now) {
        loop.beginEvent(now);
        if (message instanceof ControlResponse answer) {
            caller.onResponse(answer);
        } else if (message instanceof NodeSignals.Call wish && scriptedCalls.size() < MOST_WISHES) {
            scriptedCalls.add(wish);
        }
        loop.endEvent();
    }

    @Override
    public void onTimer(long now) {
        loop.beginEvent(now);
        loop.endEvent();
    }
}
