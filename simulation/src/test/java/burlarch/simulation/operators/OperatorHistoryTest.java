package burlarch.simulation.operators;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.simulation.operators.OperatorHistory.Outcome;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Verifies that operators see one linearizable register under faults of controllers, disks and messages. To run more
 * seeds: {@code -Doperators.seeds=10000}.
 */
class OperatorHistoryTest {
    private static final long SEED_COUNT = Long.getLong("operators.seeds", 300);
    private static final long MAX_SEEDS_PER_FAULT = 1_000;

    @Test
    void historyIsLinearizableWithoutPlantedFault() {
        assertConsistent(new ControllerBehaviour());
    }

    @Test
    void historyIsLinearizableWhenFewChangesAreRemembered() {
        assertConsistent(new PlantedOperatorFaults.RemembersTwoChanges());
    }

    /** Shows that the runs reach the situations in which each fault matters, and that the checker detects it. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void checkerFindsPlantedFaultWithinMaxSeeds(String name, ControllerBehaviour fault) {
        long seed = 0;
        while (seed < MAX_SEEDS_PER_FAULT && !violatesConsistency(seed, fault)) {
            seed++;
        }
        System.out.printf("%d seeds for: %s%n", seed + 1, name);
        assertThat(seed).as(name).isLessThan(MAX_SEEDS_PER_FAULT);
    }

    static Stream<Arguments> faults() {
        return PlantedOperatorFaults.all().entrySet().stream()
                .map(fault -> Arguments.of(fault.getKey(), fault.getValue()));
    }

    private static boolean violatesConsistency(long seed, ControllerBehaviour fault) {
        OperatorRun run = new OperatorRun(seed, fault);
        OperatorHistory history = run.play();
        return !LinearizabilityChecker.isLinearizable(history) || !run.areAcknowledgedWeightsInForce();
    }

    private static void assertConsistent(ControllerBehaviour behaviour) {
        long[] outcomeCounts = new long[Outcome.values().length];
        for (long seed = 0; seed < SEED_COUNT; seed++) {
            OperatorRun run = new OperatorRun(seed, behaviour);
            OperatorHistory history = run.play();
            assertThat(LinearizabilityChecker.isLinearizable(history))
                    .as("seed %d%n%s", seed, history)
                    .isTrue();
            assertThat(run.areAcknowledgedWeightsInForce())
                    .as("weights, seed %d", seed)
                    .isTrue();
            for (Outcome outcome : Outcome.values()) {
                outcomeCounts[outcome.ordinal()] += run.count(outcome);
            }
        }
        for (Outcome outcome : Outcome.values()) {
            System.out.printf("%d orders ended as %s%n", outcomeCounts[outcome.ordinal()], outcome);
            assertThat(outcomeCounts[outcome.ordinal()]).as("%s", outcome).isGreaterThan(SEED_COUNT);
        }
    }
}
