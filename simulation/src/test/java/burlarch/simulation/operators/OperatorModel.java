package burlarch.simulation.operators;

import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import burlarch.simulation.operators.OperatorHistory.Outcome;
import burlarch.simulation.transport.SimulatedEventLoop;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * Simulated operator with several calls in progress. Its changes are valid or invalid, new or repeated, and based on
 * the newest known version, a version just requested or an older one. Each call is retried unchanged at any controller
 * until it gets a clear response or runs out of attempts.
 */
final class OperatorModel implements SimulatedNode {
    private static final long RESPONSE_TIMEOUT_NANOS = Simulation.SECOND;
    private static final int MIN_PAUSE_MILLIS = 20;
    private static final int PAUSE_SPREAD_MILLIS = 400;
    private static final int MAX_IN_PROGRESS = 3;
    private static final int MAX_ATTEMPTS = 12;
    private static final int MAX_VERSION_STEP = 3;
    private static final int MARK_COUNT = 40;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** State that all operators of a run share. */
    static final class SharedState {
        final OperatorHistory history = new OperatorHistory();
        /** Highest weights version acknowledged to any operator. */
        long acknowledgedWeightsVersion;

        long readWeightsVersion;
        boolean faultsEnded;
        /** Runs once, when the next change is acknowledged. */
        Runnable onNextAcknowledgement = () -> {};

        private long knownVersion;
        private long newestRequestedVersion;
        private long lastWeightsVersion;

        private void onAcknowledged() {
            Runnable action = onNextAcknowledgement;
            onNextAcknowledgement = () -> {};
            action.run();
        }
    }

    private final NodeContext context;
    private final Random random;
    private final List<String> controllers;
    private final Simulation simulation;
    private final SharedState shared;
    private final SimulatedEventLoop loop;
    private final Map<Long, Call> calls = new HashMap<>();
    private long callCount;
    private int inProgress;

    /** One call of the operator, with its retries. */
    private abstract class Call {
        private int attemptsLeft = 1 + random.nextInt(MAX_ATTEMPTS);
        private long id;

        abstract Object message(long call);

        /** @return whether the response is clear, so that the call ends */
        abstract boolean handleResponse(ModelMessages.Response response);

        final void send() {
            if (attemptsLeft-- == 0 && !shared.faultsEnded) {
                finish();
                return;
            }
            id = context.incarnation() + ++callCount;
            calls.put(id, this);
            context.send(controllers.get(random.nextInt(controllers.size())), message(id));
            long sentId = id;
            loop.schedule(RESPONSE_TIMEOUT_NANOS, () -> retry(sentId));
        }

        final void retry(long sentId) {
            if (calls.remove(sentId) != null) {
                long pause = MIN_PAUSE_MILLIS + random.nextInt(PAUSE_SPREAD_MILLIS);
                loop.schedule(pause * Simulation.MILLISECOND, this::send);
            }
        }

        private void onResponse(ModelMessages.Response response) {
            if (handleResponse(response)) {
                calls.remove(response.call());
                finish();
            } else {
                retry(response.call());
            }
        }

        private void finish() {
            inProgress--;
        }
    }

    private final class Change extends Call {
        private final OperatorChange order;

        Change(OperatorChange order) {
            this.order = order;
        }

        @Override
        Object message(long call) {
            return new ModelMessages.Order(call, order);
        }

        @Override
        boolean handleResponse(ModelMessages.Response response) {
            switch (response.status()) {
                case ControllerModel.OK -> {
                    shared.knownVersion = Math.max(shared.knownVersion, order.version());
                    shared.history.onClearResponse(order, Outcome.APPLIED, simulation.now());
                    shared.onAcknowledged();
                }
                case ControllerModel.CONFLICT -> shared.history.onClearResponse(
                        order, Outcome.CONFLICT, simulation.now());
                case ControllerModel.INVALID -> shared.history.onClearResponse(
                        order, Outcome.INVALID, simulation.now());
                default -> {
                    return false;
                }
            }
            return true;
        }
    }

    private final class ReadCall extends Call {
        private final long start = simulation.now();

        @Override
        Object message(long call) {
            return new ModelMessages.Read(call);
        }

        @Override
        boolean handleResponse(ModelMessages.Response response) {
            if (response.status() != ControllerModel.OK) {
                return false;
            }
            long version = 0;
            String mark = "";
            Set<String> tenants = new TreeSet<>();
            if (response.configuration().length > 0) {
                JsonNode json = parse(response.configuration());
                version = json.path("config_version").asLong();
                mark = json.path("mark").asText();
                json.path("tenants")
                        .forEach(tenant -> tenants.add(tenant.path("name").asText()));
            }
            shared.knownVersion = Math.max(shared.knownVersion, version);
            shared.readWeightsVersion = response.weights();
            shared.history.onRead(new OperatorHistory.Read(start, simulation.now(), version, mark, tenants));
            return true;
        }
    }

    private final class WeightsCall extends Call {
        private final long version;

        WeightsCall(long version) {
            this.version = version;
        }

        @Override
        Object message(long call) {
            return new ModelMessages.NameWeights(call, version);
        }

        @Override
        boolean handleResponse(ModelMessages.Response response) {
            if (response.status() == ControllerModel.OK) {
                shared.acknowledgedWeightsVersion = Math.max(shared.acknowledgedWeightsVersion, version);
                return true;
            }
            return false;
        }
    }

    OperatorModel(NodeContext context, Simulation simulation, List<String> controllers, SharedState shared) {
        this.context = context;
        this.random = context.random();
        this.simulation = simulation;
        this.controllers = controllers;
        this.shared = shared;
        loop = new SimulatedEventLoop(context);
    }

    private static JsonNode parse(byte[] json) {
        try {
            return JSON.readTree(json);
        } catch (IOException invalidJson) {
            throw new UncheckedIOException(invalidJson);
        }
    }

    @Override
    public void start(long now) {
        loop.beginEvent(now);
        startCallAndRepeat();
        loop.endEvent();
    }

    private void startCallAndRepeat() {
        if (!shared.faultsEnded) {
            long pause = MIN_PAUSE_MILLIS + random.nextInt(PAUSE_SPREAD_MILLIS);
            loop.schedule(pause * Simulation.MILLISECOND, this::startCallAndRepeat);
        }
        if (inProgress < MAX_IN_PROGRESS) {
            inProgress++;
            nextCall().send();
        }
    }

    private Call nextCall() {
        int drawn = shared.faultsEnded ? 0 : random.nextInt(100);
        if (drawn < 12) {
            return new ReadCall();
        } else if (drawn < 18) {
            boolean older = random.nextInt(4) == 0;
            return new WeightsCall(older ? Math.max(1, shared.lastWeightsVersion - 1) : ++shared.lastWeightsVersion);
        } else if (drawn < 33 && !shared.history.changes().isEmpty()) {
            List<OperatorHistory.Change> sentChanges = shared.history.changes();
            return change(sentChanges.get(random.nextInt(sentChanges.size())).change());
        }
        return change(newOrder(drawn));
    }

    private Call change(OperatorChange order) {
        shared.newestRequestedVersion = Math.max(shared.newestRequestedVersion, order.version());
        shared.history.onSent(order, simulation.now());
        return new Change(order);
    }

    private OperatorChange newOrder(int drawn) {
        long base = shared.knownVersion;
        if (drawn >= 85) {
            base = drawn < 93 ? shared.newestRequestedVersion : random.nextLong(shared.knownVersion + 1);
        }
        long version = base + 1 + random.nextInt(MAX_VERSION_STEP);
        if (random.nextInt(12) == 0) {
            version = random.nextLong(base + 1) + (base == 0 ? 1 : 0);
        }
        OperatorChange.Kind[] kinds = OperatorChange.Kind.values();
        int kind = base == 0 ? random.nextInt(2) : random.nextInt(2 * kinds.length - 1) / 2;
        return new OperatorChange(kinds[kind], base, Math.max(1, version), "t" + random.nextInt(MARK_COUNT));
    }

    @Override
    public void onMessage(String from, Object message, long now) {
        loop.beginEvent(now);
        if (message instanceof ModelMessages.Response response) {
            Call call = calls.get(response.call());
            if (call != null && call.id == response.call()) {
                call.onResponse(response);
            }
        }
        loop.endEvent();
    }

    @Override
    public void onTimer(long now) {
        loop.beginEvent(now);
        loop.endEvent();
    }
}
