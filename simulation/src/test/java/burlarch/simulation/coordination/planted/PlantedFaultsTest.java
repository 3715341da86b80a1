package burlarch.simulation.coordination.planted;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.simulation.coordination.CoordinationRun;
import burlarch.simulation.coordination.CoordinationScenario;
import burlarch.simulation.coordination.CoordinationSearch;
import burlarch.simulation.coordination.WallClockSteps;
import burlarch.simulation.coordination.node.ComponentOverrides;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Verifies that the scenario search detects each planted fault within {@link #MAX_SEEDS} seeds. */
class PlantedFaultsTest {
    private static final int MAX_SEEDS = 150;

    @ParameterizedTest
    @EnumSource
    void searchFindsEachPlantedFaultWithinMaxSeeds(PlantedFault fault) {
        assertThat(PlantedFaultsSearch.firstSeedThatFinds(fault, fault.firstSeed(), MAX_SEEDS))
                .isPresent();
    }

    /** Verifies that comparing runs with and without wall-clock steps detects a dependence on the wall clock. */
    @Test
    void wallClockStepsChangeResultWhenLeaseUsesWallClock() {
        CoordinationScenario scenario = CoordinationSearch.scenario(1);
        ComponentOverrides planted = new PlantedLeaseFaults.LeaseByWallClock();
        assertThat(CoordinationRun.play(WallClockSteps.addedTo(scenario), planted))
                .isNotEqualTo(CoordinationRun.play(scenario, planted));
    }
}
