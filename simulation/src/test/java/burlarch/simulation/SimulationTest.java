package burlarch.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the simulated network, process faults, clocks and repeatability of the simulation. */
class SimulationTest {
    private static final NetworkSettings FIXED_LATENCY =
            new NetworkSettings(Simulation.MILLISECOND, Simulation.MILLISECOND, 0, 0);

    private final Map<String, Recorder> recorders = new HashMap<>();

    /** Simulated node that records all events and sends a number to the other machine every 10 ms. */
    private static final class Recorder implements SimulatedNode {
        private static final long PERIOD_NANOS = 10 * Simulation.MILLISECOND;

        final NodeContext context;
        final String other;
        final List<String> eventLog = new ArrayList<>();
        final List<Object> received = new ArrayList<>();
        long startedAtNanos;
        long longestTimerGapNanos;
        private long lastTimerNanos;
        private int nextNumber;

        Recorder(NodeContext context, String other) {
            this.context = context;
            this.other = other;
        }

        @Override
        public void start(long now) {
            startedAtNanos = now;
            lastTimerNanos = now;
            onTimer(now);
        }

        @Override
        public void onMessage(String from, Object message, long now) {
            received.add(message);
            eventLog.add((now - startedAtNanos) + " " + from + " " + message);
        }

        @Override
        public void onTimer(long now) {
            longestTimerGapNanos = Math.max(longestTimerGapNanos, now - lastTimerNanos);
            lastTimerNanos = now;
            context.send(other, nextNumber++);
            context.setTimer(now + PERIOD_NANOS);
        }
    }

    private Simulation startTwoMachines(long seed, NetworkSettings settings) {
        Simulation simulation = new Simulation(seed, settings);
        simulation.addMachine("a", "10.0.0.1:1", context -> recorder(context, "10.0.0.2:1"));
        simulation.addMachine("b", "10.0.0.2:1", context -> recorder(context, "10.0.0.1:1"));
        simulation.start("a");
        simulation.start("b");
        return simulation;
    }

    private Recorder recorder(NodeContext context, String other) {
        Recorder recorder = new Recorder(context, other);
        recorders.put(context.name(), recorder);
        return recorder;
    }

    @Test
    void sameSeedGivesSameRun() {
        startTwoMachines(5, NetworkSettings.defaults()).runFor(Simulation.SECOND);
        List<String> first = recorders.get("a").eventLog;
        startTwoMachines(5, NetworkSettings.defaults()).runFor(Simulation.SECOND);
        assertThat(recorders.get("a").eventLog).isEqualTo(first).isNotEmpty();
        startTwoMachines(6, NetworkSettings.defaults()).runFor(Simulation.SECOND);
        assertThat(recorders.get("a").eventLog).isNotEqualTo(first);
    }

    @Test
    void messagesAreLostAndDuplicatedAtTheConfiguredRates() {
        Simulation simulation = startTwoMachines(1, FIXED_LATENCY.withLoss(0.2));
        simulation.runFor(10 * Simulation.SECOND);
        assertThat(recorders.get("a").received.size()).isBetween(700, 900);
        simulation.network().setSettings(FIXED_LATENCY.withDuplication(0.5));
        recorders.get("a").received.clear();
        simulation.runFor(10 * Simulation.SECOND);
        assertThat(recorders.get("a").received.size()).isBetween(1_400, 1_600);
    }

    @Test
    void partitionIsOneWayAndLastsUntilHealed() {
        Simulation simulation = startTwoMachines(1, FIXED_LATENCY);
        SimulatedNetwork.Partition partition = simulation.network().partition(Set.of("a"), Set.of("b"));
        simulation.runFor(Simulation.SECOND);
        int receivedBefore = recorders.get("b").received.size();
        assertThat(receivedBefore).isLessThanOrEqualTo(1);
        assertThat(recorders.get("a").received.size()).isBetween(99, 101);
        simulation.network().heal(partition);
        simulation.runFor(Simulation.SECOND);
        assertThat(recorders.get("b").received.size()).isGreaterThan(90);
    }

    @Test
    void frozenProcessDoesNothingAndThenReceivesPendingMessages() {
        Simulation simulation = startTwoMachines(1, FIXED_LATENCY);
        simulation.runFor(Simulation.SECOND);
        int receivedBefore = recorders.get("b").received.size();
        simulation.freeze("b", Simulation.SECOND / 2);
        simulation.runFor(Simulation.SECOND / 2 - 1);
        assertThat(simulation.isFrozen("b")).isTrue();
        assertThat(recorders.get("b").received).hasSize(receivedBefore);
        simulation.runFor(1 + Simulation.MILLISECOND);
        assertThat(recorders.get("b").received.size()).isBetween(receivedBefore + 49, receivedBefore + 52);
        assertThat(recorders.get("b").longestTimerGapNanos).isGreaterThanOrEqualTo(Simulation.SECOND / 2);
    }

    @Test
    void restartedProcessHasNewIncarnation() {
        Simulation simulation = startTwoMachines(1, FIXED_LATENCY);
        Recorder first = recorders.get("b");
        simulation.kill("b");
        simulation.runFor(Simulation.SECOND);
        assertThat(first.received).isEmpty();
        assertThat(simulation.isRunning("b")).isFalse();
        first.context.send("10.0.0.1:1", "from beyond");
        simulation.start("b");
        simulation.runFor(Simulation.SECOND);
        assertThat(recorders.get("b").context.incarnation()).isNotEqualTo(first.context.incarnation());
        assertThat(recorders.get("b").received).isNotEmpty();
        assertThat(recorders.get("a").received).doesNotContain("from beyond");
    }

    @Test
    void wallClockStepDoesNotAffectMonotonicClock() {
        Simulation simulation = startTwoMachines(1, FIXED_LATENCY);
        simulation.runFor(Simulation.SECOND);
        simulation.stepWallClock("a", -60_000);
        assertThat(recorders.get("a").context.wallClockMillis()).isEqualTo(-59_000);
        simulation.runFor(Simulation.SECOND);
        assertThat(recorders.get("a").longestTimerGapNanos).isEqualTo(10 * Simulation.MILLISECOND);
    }

    @Test
    void heldUpMessagesArriveAfterTheEndOfTheHoldUp() {
        Simulation simulation = startTwoMachines(1, FIXED_LATENCY);
        simulation.runUntil(Simulation.SECOND);
        SimulatedNetwork.HoldUp holdUp = simulation.network().holdUp(Set.of("a"), Set.of("b"), 2 * Simulation.SECOND);
        int receivedBefore = recorders.get("b").received.size();
        simulation.runUntil(2 * Simulation.SECOND - 1);
        int sentBefore = recorders.get("a").nextNumber;
        assertThat(recorders.get("b").received.size() - receivedBefore).isLessThanOrEqualTo(1);

        simulation.network().release(holdUp);
        simulation.runUntil(12 * Simulation.SECOND);
        assertThat(recorders.get("b").received)
                .containsAll(IntStream.range(0, sentBefore).boxed().toList());
    }

    @Test
    void lateCopiesAreOfTheMessagesThatTheFilterAccepts() {
        Simulation simulation = startTwoMachines(1, FIXED_LATENCY);
        simulation.network().setLateCopies(1, message -> (int) message % 2 == 0);
        simulation.runUntil(Simulation.SECOND);
        simulation.network().setLateCopies(0, message -> false);
        int numbers = recorders.get("a").nextNumber;
        simulation.runUntil(10 * Simulation.SECOND);

        List<Object> received = recorders.get("b").received;
        for (int number = 1; number < numbers - 1; number++) {
            assertThat(Collections.frequency(received, number))
                    .as("number %d", number)
                    .isEqualTo(number % 2 == 0 ? 2 : 1);
        }
    }
}
