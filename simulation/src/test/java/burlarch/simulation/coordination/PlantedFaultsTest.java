package burlarch.simulation.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A search that misses planted faults says nothing: each is found within few seeds. */
class PlantedFaultsTest {
    private static final int MOST_SEEDS = 150;

    @ParameterizedTest
    @EnumSource
    void isFound(PlantedFaults fault) {
        assertThat(PlantedFaultsSearch.firstFound(fault, fault.firstSeed(), MOST_SEEDS))
                .isPresent();
    }

    /** What counts by the time of day is found where a run must not hang on it. */
    @Test
    void aLeaseCountedByTheTimeOfDayChangesTheRun() {
        CoordinationScenario scenario = CoordinationSearch.scenario(1);
        ComponentOverrides planted = new PlantedOwnerFaults.TimeOfDay();
        assertThat(CoordinationRun.play(CoordinationSearchTest.withClockSteps(scenario), planted))
                .isNotEqualTo(CoordinationRun.play(scenario, planted));
    }
}
