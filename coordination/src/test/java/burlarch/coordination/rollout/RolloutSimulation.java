package burlarch.coordination.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.registry.InstanceState;
import burlarch.coordination.rollout.RolloutAction.ClearLoading;
import burlarch.coordination.rollout.RolloutAction.MarkLoading;
import burlarch.coordination.rollout.RolloutAction.RequestReport;
import burlarch.coordination.rollout.RolloutAction.SendOrder;
import burlarch.coordination.rollout.RolloutAction.Timer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * A simulation of a fleet of engines, a network that delays and loses messages, and successive owners of the rollout.
 * Times are milliseconds.
 */
final class RolloutSimulation {
    private static final long VERSION_MILLIS = 8000;
    private static final long LEASE_MILLIS = 3000;
    private static final long WITHDRAWAL_LEAD_MILLIS = 150;
    private static final long HEARTBEAT_MILLIS = 1200;
    private static final long MAX_EVENTS = 100_000;
    private static final long CALL_TIMEOUT_MILLIS = 700;
    /** How long a cut holds up a request at most. */
    private static final int MAX_LATE_MILLIS = 6000;

    private record Event(long atMillis, long number, Runnable task) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final Random random;
    private final double lossProbability;
    private final Map<String, SimulatedEngine> engines = new HashMap<>();
    private final Map<String, Long> registeredVersions = new HashMap<>();
    private final Map<String, Long> markedAtMillis = new HashMap<>();
    private WeightsRollout rollout;
    private long timerMillis = Long.MAX_VALUE;
    private long token;
    private long target = 1;
    private final Map<Long, Long> namedAtMillis = new HashMap<>();
    private long nowMillis;
    private long eventCount;
    int maxLoading;
    /** The longest time that routers could send requests to an engine after its weights were superseded. */
    long maxMillisOnSupersededWeights;

    RolloutSimulation(long seed, int count, double lossProbability, long loadMillis) {
        random = new Random(seed);
        this.lossProbability = lossProbability;
        for (int i = 0; i < count; i++) {
            addEngine("e" + i, "z" + i % 3, 1, loadMillis / 2 + random.nextInt((int) loadMillis / 2 + 1));
        }
        takeOwnership();
        schedule(HEARTBEAT_MILLIS / 4, this::announce);
    }

    void nameVersion(long millis) {
        schedule(millis, () -> {
            target++;
            namedAtMillis.put(target, nowMillis);
            perform(rollout.onTargets(Map.of("m", target), nanos()));
        });
    }

    void restartOne(long millis) {
        schedule(millis, () -> {
            List<SimulatedEngine> liveEngines =
                    engines.values().stream().filter(engine -> engine.alive).toList();
            SimulatedEngine engine = liveEngines.get(random.nextInt(liveEngines.size()));
            engine.finishDueLoad(nowMillis);
            engine.alive = false;
            registeredVersions.remove(engine.id);
            markedAtMillis.remove(engine.id);
            addEngine(engine.id + "'", engine.zone, engine.version, engine.loadMillis);
        });
    }

    /** Lets one engine go back to the first version. */
    void goBackOne(long millis) {
        schedule(millis, () -> {
            List<SimulatedEngine> liveEngines =
                    engines.values().stream().filter(engine -> engine.alive).toList();
            liveEngines.get(random.nextInt(liveEngines.size())).goBackTo(1, nowMillis);
        });
    }

    void changeOwner(long millis) {
        schedule(millis, () -> perform(rollout.onOwnershipLost(nanos())));
        schedule(millis + LEASE_MILLIS, this::takeOwnership);
    }

    void run(long until) {
        while (!events.isEmpty() && events.peek().atMillis() <= until) {
            Event event = events.poll();
            assertThat(eventCount).as("events").isLessThan(MAX_EVENTS);
            nowMillis = event.atMillis();
            recordSupersededWeights();
            event.task().run();
            int loading = (int) engines.values().stream()
                    .filter(engine -> engine.alive && engine.busy(nowMillis))
                    .count();
            maxLoading = Math.max(maxLoading, loading);
        }
        nowMillis = until;
    }

    /** Engines that are not marked receive requests. */
    private void recordSupersededWeights() {
        for (SimulatedEngine engine : engines.values()) {
            Long supersededAtMillis = namedAtMillis.get(engine.version + 1);
            if (engine.alive && supersededAtMillis != null && !markedAtMillis.containsKey(engine.id)) {
                engine.finishDueLoad(nowMillis);
                supersededAtMillis = namedAtMillis.getOrDefault(engine.version + 1, nowMillis);
                maxMillisOnSupersededWeights = Math.max(maxMillisOnSupersededWeights, nowMillis - supersededAtMillis);
            }
        }
    }

    void assertDone() {
        for (SimulatedEngine engine : engines.values()) {
            if (engine.alive) {
                engine.finishDueLoad(nowMillis);
                assertThat(engine.version).as(engine.id).isEqualTo(target);
                assertThat(markedAtMillis).as("marks").doesNotContainKey(engine.id);
            }
        }
        assertThat(rollout.isComplete()).isTrue();
    }

    long lastLoadedAt() {
        return engines.values().stream()
                .mapToLong(engine -> engine.loadedAtMillis)
                .max()
                .orElseThrow();
    }

    private void takeOwnership() {
        rollout = new WeightsRollout(RolloutSettings.of(VERSION_MILLIS));
        timerMillis = Long.MAX_VALUE;
        token++;
        perform(rollout.onTargets(Map.of("m", target), nanos()));
        perform(rollout.onInstances(instances(), nanos()));
        perform(rollout.onOwnership(token, nanos()));
    }

    private void addEngine(String id, String zone, long version, long loadMillis) {
        engines.put(id, new SimulatedEngine(id, zone, version, loadMillis));
        registeredVersions.put(id, version);
    }

    private void announce() {
        for (SimulatedEngine engine : engines.values()) {
            if (engine.alive && random.nextDouble() < 0.25) {
                engine.finishDueLoad(nowMillis);
                registeredVersions.put(engine.id, engine.version);
            }
        }
        perform(rollout.onInstances(instances(), nanos()));
        schedule(nowMillis + HEARTBEAT_MILLIS / 4, this::announce);
    }

    private List<Instance> instances() {
        List<Instance> instances = new ArrayList<>();
        registeredVersions.forEach((id, version) -> instances.add(new Instance(
                id,
                "service",
                "10.0.0.1:1",
                engines.get(id).zone,
                "v1",
                8,
                markedAtMillis.containsKey(id) ? InstanceState.LOADING : InstanceState.READY,
                0,
                List.of(new ServedModel("m", version)),
                1)));
        return instances;
    }

    private void perform(List<RolloutAction> actions) {
        for (RolloutAction action : actions) {
            if (action instanceof Timer next) {
                timerMillis = -Math.floorDiv(-next.atNanos(), 1_000_000L);
                WeightsRollout sender = rollout;
                long ownTimerMillis = timerMillis;
                schedule(Math.max(nowMillis, ownTimerMillis), () -> {
                    if (sender == rollout && timerMillis == ownTimerMillis) {
                        perform(sender.onTimer(nanos()));
                    }
                });
            } else if (action instanceof MarkLoading mark) {
                markedAtMillis.put(mark.instanceId(), nowMillis);
            } else if (action instanceof ClearLoading clear) {
                markedAtMillis.remove(clear.instanceId());
            } else if (action instanceof SendOrder order) {
                send(order);
            } else if (action instanceof RequestReport request) {
                requestReport(request.instanceId());
            }
        }
    }

    private void send(SendOrder order) {
        assertThat(order.fencingToken()).isEqualTo(token);
        assertThat(order.version()).isEqualTo(target);
        if (engines.get(order.instanceId()).alive) {
            assertThat(markedAtMillis).as("marked before").containsKey(order.instanceId());
            assertThat(nowMillis - markedAtMillis.get(order.instanceId()))
                    .isGreaterThanOrEqualTo(WITHDRAWAL_LEAD_MILLIS);
        }
        call(
                order.instanceId(),
                engine -> engine.take(order, nowMillis),
                OrderResult.NO_RESPONSE,
                (sender, result) -> sender.onOrderResult(order.instanceId(), result, nanos()));
    }

    private void requestReport(String id) {
        call(
                id,
                engine -> engine.report(nowMillis),
                null,
                (sender, report) -> sender.onReport(id, Optional.ofNullable(report), nanos()));
    }

    private interface ResponseListener<T> {
        List<RolloutAction> onResponse(WeightsRollout sender, T response);
    }

    /**
     * Calls an engine. The request or the response may be lost; the request may also arrive late, after the caller
     * timed out.
     */
    private <T> void call(
            String id, Function<SimulatedEngine, T> request, T responseOnTimeout, ResponseListener<T> listener) {
        WeightsRollout sender = rollout;
        SimulatedEngine engine = engines.get(id);
        boolean requestArrives = engine.alive && random.nextDouble() >= lossProbability;
        boolean late = random.nextDouble() < lossProbability / 2;
        boolean responseArrives = !late && random.nextDouble() >= lossProbability;
        List<T> responses = new ArrayList<>();
        if (requestArrives) {
            long lateMillis = late ? 500 + random.nextInt(MAX_LATE_MILLIS - 500) : 0;
            schedule(nowMillis + 1 + random.nextInt(20) + lateMillis, () -> {
                if (engine.alive) {
                    responses.add(request.apply(engine));
                }
            });
        }
        schedule(nowMillis + (requestArrives && responseArrives ? 30 : CALL_TIMEOUT_MILLIS), () -> {
            if (sender == rollout) {
                T result = requestArrives && responseArrives && !responses.isEmpty()
                        ? responses.get(0)
                        : responseOnTimeout;
                perform(listener.onResponse(sender, result));
            }
        });
    }

    private void schedule(long millis, Runnable task) {
        events.add(new Event(millis, eventCount++, task));
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }
}
