package burlarch.simulation.coordination;

import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.ConfigurationPatch;
import burlarch.configuration.InvalidConfiguration;
import burlarch.controller.state.AppliedChange;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.Calls.ControlAnswer;
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
    static final class Book {
        private long known;
        private ControlAction lastAction;
        private AppliedChange lastChange;
        private long lastIfMatch;
        private long lastAcknowledgedAt;
        private long lastReadAt;
        private double lostShare;
        private final boolean oftenNamesWeights;

        /** @param oftenNamesWeights whether weights are named all the time, or now and then */
        Book(boolean oftenNamesWeights) {
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
    private final Rules rules;
    private final Book book;
    private final SimulatedLoop loop;
    private final ControlCaller caller;
    private final Triggers triggers;
    private final Deque<Signals.Call> wishes = new ArrayDeque<>();
    private long marker;

    OperatorNode(
            NodeContext context,
            Simulation simulation,
            Rules rules,
            Book book,
            Supplier<List<String>> controllers,
            Triggers triggers) {
        this.triggers = triggers;
        this.context = context;
        this.simulation = simulation;
        this.rules = rules;
        this.book = book;
        loop = new SimulatedLoop(context);
        caller = new ControlCaller(context, loop, controllers, () -> book.lostShare);
    }

    @Override
    public void start(long now) {
        loop.enter(now);
        loop.schedule(Simulation.SECOND, this::act);
        loop.leave();
    }

    private void pause() {
        loop.schedule((1 + context.random().nextInt(LONGEST_PAUSE_MILLIS)) * Simulation.MILLISECOND, this::act);
    }

    private void act() {
        caller.chooseAnew();
        Signals.Call wish = wishes.poll();
        if (wish != null && book.known > 0) {
            call(wish);
            return;
        }
        int draw = context.random().nextInt(PERCENT);
        if (book.known == 0 || draw < 35) {
            put(book.known, book.known + 1 + context.random().nextInt(LONGEST_STEP), true);
        } else if (draw < 60) {
            patch(book.known, book.known + 1 + context.random().nextInt(LONGEST_STEP));
        } else if (draw < 65) {
            invalid();
        } else if (draw < 85) {
            read();
        } else if (draw < 94 && book.lastAction != null) {
            send(book.lastAction, book.lastChange, book.lastIfMatch);
        } else if (book.namesWeights(simulation.now())) {
            nameWeights(rules.operators().newestWeights(EngineNode.MODEL) + 1);
        } else {
            read();
        }
    }

    private void call(Signals.Call wish) {
        if (wish.controller() != null) {
            caller.prefer(wish.controller(), wish.persistent());
        }
        switch (wish.kind()) {
            case PUT -> put(book.known, book.known + 1, true);
            case INVALID -> invalid();
            case LARGE -> large();
            default -> nameWeights(rules.operators().newestWeights(EngineNode.MODEL) + 1);
        }
    }

    /** What no state may take: the version in force again, a base that is past, a body that breaks rules. */
    private void invalid() {
        switch (context.random().nextInt(3)) {
            case 0 -> put(book.known, book.known, false);
            case 1 -> put(Math.max(0, book.known - 1), book.known + 1, false);
            default -> {
                int kind = context.random().nextInt(Bodies.BROKEN);
                byte[] body = Bodies.broken(kind, book.known + 1, mark());
                caller.call(new ControlAction.Put(body, book.known), LIMIT, answer -> {
                    if (answer != null && answer.succeeded()) {
                        rules.violations().add(OperatorRule.INVALID, "acknowledged a broken configuration");
                    }
                    pause();
                });
            }
        }
    }

    private void large() {
        long version = book.known + 1;
        byte[] body = Bodies.large(version, mark());
        try {
            AppliedChange change = AppliedChange.patch(
                    book.known, version, ConfigurationPatch.read(body).digest());
            send(new ControlAction.Patch(body, book.known), change, book.known);
        } catch (InvalidConfiguration invalid) {
            throw new IllegalStateException(invalid);
        }
    }

    private String mark() {
        return context.name() + "-" + ++marker;
    }

    private void put(long ifMatch, long version, boolean valid) {
        byte[] body = Bodies.configuration(version, mark());
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
        byte[] body = Bodies.patch(version, mark());
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
                book.known = Math.max(book.known, change.version());
                book.lastAction = action;
                book.lastChange = change;
                book.lastIfMatch = ifMatch;
                book.lastAcknowledgedAt = simulation.now();
                rules.operators().onAcknowledged(change, ifMatch);
                rules.routers().onAcknowledged(change.version(), FleetPlan.controllerAt(caller.lastController()));
                triggers.fire(Triggers.Event.ACKNOWLEDGED);
                pause();
            } else {
                rules.operators().onRefused(change, answer.status());
                read();
            }
        });
        triggers.fire(Triggers.Event.SENT);
    }

    private void noteEnd(String call, long begun) {
        if (!caller.hasLostAnswer()) {
            rules.operators().onEnded(call, begun, simulation.now());
        }
    }

    private void read() {
        long expected = rules.operators().newestKnown();
        caller.chooseAnew();
        caller.call(new ControlAction.Read(), LIMIT, answer -> {
            if (answer != null && answer.succeeded()) {
                onRead(answer, expected);
            } else if (answer != null) {
                rules.operators().onReadRefused(answer.status(), expected);
            }
            pause();
        });
    }

    private void onRead(ControlAnswer answer, long expected) {
        try {
            long version = ConfigurationDocument.parseTrusted(answer.body()).version();
            rules.operators().onRead(version, answer.body(), expected);
            book.known = Math.max(book.known, version);
            book.lastReadAt = simulation.now();
        } catch (InvalidConfiguration unreadable) {
            rules.violations().add(OperatorRule.LOST, "what was read is no configuration");
        }
    }

    private void nameWeights(long version) {
        long begun = simulation.now();
        caller.call(new ControlAction.NameWeights(EngineNode.MODEL, version), LIMIT, answer -> {
            noteEnd("weights " + version, begun);
            if (answer != null && answer.succeeded()) {
                rules.operators().onWeightsAcknowledged(EngineNode.MODEL, version);
            }
            pause();
        });
    }

    @Override
    public void onMessage(String from, Object message, long now) {
        loop.enter(now);
        if (message instanceof ControlAnswer answer) {
            caller.onAnswer(answer);
        } else if (message instanceof Signals.Call wish && wishes.size() < MOST_WISHES) {
            wishes.add(wish);
        }
        loop.leave();
    }

    @Override
    public void onTimer(long now) {
        loop.enter(now);
        loop.leave();
    }
}
