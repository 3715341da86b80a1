package burlarch.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.decisions.Api.Charges;
import burlarch.decisions.Api.Ended;
import burlarch.decisions.Api.Limits;
import burlarch.decisions.Api.ListKind;
import burlarch.decisions.Api.Obligations;
import burlarch.decisions.Api.Outcome;
import burlarch.decisions.Api.Repeat;
import burlarch.decisions.Api.Request;
import burlarch.decisions.Api.RequestClass;
import burlarch.decisions.Api.Scope;
import burlarch.decisions.Api.Server;
import burlarch.decisions.Api.Settings;
import burlarch.decisions.Api.Stage;
import burlarch.decisions.Api.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Safety rules under random events from fixed seeds. A violation fails at the action that causes it. */
class RandomSequencesTest {
    private static final long MS = 1_000_000L;
    private static final long ORIGIN = 100;
    private static final int STEPS = 6000;

    /** Simulated network that keeps the attempts in flight and checks every action of the policy against the rules. */
    private static final class SimulatedNetwork implements Api.Actions {
        final SplittableRandom random;
        final List<String> log = new ArrayList<>();
        final Map<Long, Stage> stages = new HashMap<>();
        /** Attempts by request: server, whether it may have run, time of sending. */
        final Map<Long, List<long[]>> attempts = new HashMap<>();

        final Map<Long, Integer> classes = new HashMap<>();
        final Map<Long, Long> deadlines = new HashMap<>();
        final Set<Long> answered = new HashSet<>();
        /** Request, number of the attempt, server, time at which it is given up. */
        final List<long[]> inFlight = new ArrayList<>();
        /** Due time and token. */
        final List<long[]> timers = new ArrayList<>();

        long nowNanos = 50_000 * MS;

        SimulatedNetwork(long seed) {
            random = new SplittableRandom(seed);
        }

        private boolean mayHaveRun(long request) {
            return attempts.get(request).stream().anyMatch(attempt -> attempt[1] == 1);
        }

        @Override
        public void send(long request, long server, long abandonAtNanos) {
            assertFalse(answered.contains(request), "sent after its final answer");
            assertEquals(Stage.IN, stages.get(server), "sent to a server that is draining or gone");
            assertFalse(classes.get(request) == 1 && mayHaveRun(request), "repeated a request that may have run");
            List<long[]> requestAttempts = attempts.get(request);
            assertTrue(
                    classes.get(request) != 2
                            || requestAttempts.stream()
                                    .allMatch(attempt -> attempt[1] == 0 || nowNanos - attempt[2] < 400 * MS),
                    "repeated after the deduplication time");
            long giveUpAtNanos = Math.min(abandonAtNanos, deadlines.get(request));
            inFlight.add(new long[] {request, requestAttempts.size(), server, giveUpAtNanos});
            requestAttempts.add(new long[] {server, 1, nowNanos});
            log.add("send " + request + " " + server);
        }

        @Override
        public void cancel(long request, int attempt) {
            assertTrue(attempt < attempts.get(request).size());
            log.add("cancel " + request + " " + attempt);
        }

        @Override
        public void refuse(long request, long retryAfterNanos) {
            assertFalse(classes.get(request) == 1 && mayHaveRun(request), "refused a request that may have run");
            recordAnswer(request);
        }

        @Override
        public void fail(long request) {
            recordAnswer(request);
        }

        private void recordAnswer(long request) {
            assertTrue(answered.add(request), "second final answer");
            assertTrue(nowNanos <= deadlines.get(request) + 20 * MS, "answered after the deadline");
            log.add("answer " + request);
        }

        @Override
        public void timer(long delayNanos, long token) {
            timers.add(new long[] {nowNanos + delayNanos, token});
        }

        @Override
        public void trim(long server, long idleNanos) {}

        @Override
        public void closeIdleConnections(long server) {
            log.add("close idle " + server);
        }

        @Override
        public void watchList() {
            log.add("watch");
        }

        @Override
        public void log(String text) {}
    }

    private static Settings settings(int proxies) {
        return new Settings(
                proxies,
                false,
                1,
                5 * MS,
                new Limits(4, true, true, true, 1000 * MS, 250 * MS, 10_000 * MS),
                new Charges(0.03, 0.03),
                new Obligations(0.12, 20_000 * MS, 2.5, 2000 * MS, 10_000 * MS),
                List.of(
                        new RequestClass("read", 800 * MS, 0, Repeat.PURE, Scope.ALL, 0, 1, 0),
                        new RequestClass("order", 800 * MS, 0, Repeat.SIDE_EFFECT, Scope.ALL, 0, 1, 0.5),
                        new RequestClass("note", 800 * MS, 0, Repeat.TOKEN, Scope.ALL, 400 * MS, 1, 0)),
                List.of(new Tenant("a", 0.7, 40), new Tenant("b", 0.3, 20)));
    }

    private static List<String> runRandomEvents(long seed, int proxies) {
        SimulatedNetwork network = new SimulatedNetwork(seed);
        Policy policy = new Policy(settings(proxies), seed, network);
        List<Server> servers = new ArrayList<>(List.of(new Server(ORIGIN, 0, 1, 0, Stage.IN, 1, 0)));
        for (long id = 1; id <= 8; id++) {
            servers.add(new Server(id, 0, 1, 0, Stage.IN, 0, 0));
        }
        servers.forEach(server -> network.stages.put(server.id(), server.stage()));
        policy.onList(network.nowNanos, ListKind.RESTORED, servers);
        for (long step = 1; step <= STEPS || !network.inFlight.isEmpty(); step++) {
            network.nowNanos += network.random.nextLong(20) * MS;
            fireTimers(network, policy);
            deliverOutcomes(network, policy);
            if (step % 40 == 0) {
                long id = 1 + network.random.nextLong(8);
                Stage stage = Stage.values()[network.random.nextInt(3)];
                network.stages.put(id, stage);
                long bootNanos = stage == Stage.IN ? network.nowNanos : 0;
                policy.onList(network.nowNanos, ListKind.UPDATE, List.of(new Server(id, bootNanos, 1, 0, stage, 0, 0)));
            }
            if (step <= STEPS) {
                int requestClass = network.random.nextInt(10) < 8 ? 0 : 1 + network.random.nextInt(2);
                network.attempts.put(step, new ArrayList<>());
                network.classes.put(step, requestClass);
                network.deadlines.put(step, network.nowNanos + (300 + network.random.nextLong(1200)) * MS);
                policy.onRequest(
                        network.nowNanos,
                        new Request(
                                step,
                                requestClass,
                                network.random.nextInt(3) - 1,
                                true,
                                network.random.nextLong(30),
                                network.deadlines.get(step),
                                0,
                                requestClass != 0));
            }
        }
        for (int i = 0; i < 400; i++) {
            network.nowNanos += 5 * MS;
            fireTimers(network, policy);
        }
        assertEquals(STEPS, network.answered.size(), "each request must get one final answer");
        return network.log;
    }

    private static void fireTimers(SimulatedNetwork network, Policy policy) {
        List<long[]> due = network.timers.stream()
                .filter(timer -> timer[0] <= network.nowNanos)
                .toList();
        network.timers.removeAll(due);
        due.forEach(timer -> policy.onTimer(network.nowNanos, timer[1]));
    }

    private static void deliverOutcomes(SimulatedNetwork network, Policy policy) {
        for (long[] attempt : List.copyOf(network.inFlight)) {
            boolean timedOut = network.nowNanos >= attempt[3];
            if (!timedOut && network.random.nextInt(6) != 0) {
                continue;
            }
            network.inFlight.remove(attempt);
            Outcome outcome = timedOut ? Outcome.LATE : randomOutcome(network.random, attempt[2] == ORIGIN);
            long[] sentAttempt = network.attempts.get(attempt[0]).get((int) attempt[1]);
            sentAttempt[1] = outcome.neverRan() ? 0 : 1;
            boolean finished = outcome == Outcome.GOOD && network.answered.add(attempt[0]);
            policy.onEnded(
                    network.nowNanos,
                    new Ended(
                            attempt[0],
                            (int) attempt[1],
                            attempt[2],
                            outcome,
                            finished || network.answered.contains(attempt[0]),
                            network.nowNanos - sentAttempt[2]));
        }
    }

    private static Outcome randomOutcome(SplittableRandom random, boolean fromOrigin) {
        Outcome[] choices = {
            Outcome.GOOD,
            Outcome.GOOD,
            Outcome.GOOD,
            fromOrigin ? Outcome.GOOD : Outcome.MISS,
            Outcome.BAD,
            Outcome.FULL,
            Outcome.CROWDED,
            Outcome.NOCONN,
            Outcome.RST
        };
        return choices[random.nextInt(choices.length)];
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 60, 500})
    void rulesHoldUnderRandomEvents(int proxies) {
        for (long seed = 1; seed <= 4; seed++) {
            assertTrue(runRandomEvents(seed, proxies).size() > STEPS);
        }
    }

    @Test
    void equalSeedsCauseEqualActions() {
        assertEquals(runRandomEvents(9, 60), runRandomEvents(9, 60));
    }
}
