package burlarch.simulation.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.simulation.coordination.CoordinationRun.Result;
import burlarch.simulation.coordination.check.Rule;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.simulation.coordination.planted.PlantedFault;
import burlarch.simulation.coordination.planted.PlantedFaultsSearch;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the scenario search with generated scenarios, regression scenarios, replay and shrinking. */
class CoordinationSearchTest {
    private static final int SEED_COUNT = 100;
    private static final int MIN_ACKNOWLEDGED_CHANGES = 20;

    @ParameterizedTest
    @MethodSource("seeds")
    void generatedScenarioViolatesNoRule(long seed) {
        CoordinationScenario scenario = CoordinationSearch.scenario(seed);
        Result result = CoordinationRun.play(scenario, ComponentOverrides.NONE);
        assertThat(result.violations()).as("seed %d\n%s", seed, scenario).isEmpty();
        assertThat(result.acknowledged()).isGreaterThan(MIN_ACKNOWLEDGED_CHANGES);
        assertThat(result.orders()).isPositive();
        assertThat(result.routerChecks()).isPositive();
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEED_COUNT);
    }

    /** Regression scenarios for faults that the search has found. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "lease-between-holders",
                "quota-everywhere",
                "acknowledged-by-one-that-just-started",
                "two-removed-stay-acceptors",
                "wiped-wiped-power-off",
                "one-of-five-cut-off",
                "cut-off-and-lure",
                "exchanged-exchanged-power-off",
                "one-controller-cut-off",
                "answers-while-one-is-cut-off",
                "late-drain-of-earlier-incarnation"
            })
    void regressionScenarioViolatesNoRule(String name) throws IOException {
        assertThat(CoordinationRun.play(scenario(name), ComponentOverrides.NONE).violations())
                .isEmpty();
    }

    /** Guards against a late heartbeat of a process that has crashed, which takes the address of the live instance. */
    @Test
    void lateHeartbeatOfEarlierIncarnationDoesNotDisplaceTheLiveInstance() throws IOException {
        CoordinationScenario scenario = scenario("late-heartbeat-of-earlier-incarnation");
        assertThat(CoordinationRun.play(scenario, ComponentOverrides.NONE).violations())
                .isEmpty();
    }

    @Test
    void replayOfParsedScenarioGivesSameResult() {
        CoordinationScenario scenario = CoordinationSearch.scenario(3);
        Result first = CoordinationRun.play(scenario, ComponentOverrides.NONE);
        assertThat(CoordinationRun.play(CoordinationScenario.parse(scenario.toString()), ComponentOverrides.NONE))
                .isEqualTo(first);
    }

    /** Guards against a partition generated to end before it begins: it never healed, and one more loss cost quorum. */
    @ParameterizedTest
    @ValueSource(longs = {300_672, 301_351, 501_267})
    void generatedFaultsHaveNoNegativeDuration(long seed) {
        assertThat(CoordinationSearch.scenario(seed).faultSteps()).noneMatch(line -> line.contains(" for -"));
    }

    /** No result may depend on the wall clock. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void wallClockStepsDoNotChangeResult(long seed) {
        CoordinationScenario scenario = CoordinationSearch.scenario(seed);
        assertThat(CoordinationRun.play(WallClockSteps.addedTo(scenario), ComponentOverrides.NONE))
                .isEqualTo(CoordinationRun.play(scenario, ComponentOverrides.NONE));
    }

    @Test
    void shrunkScenarioHasFewerStepsAndViolatesSameRule() {
        ComponentOverrides planted = PlantedFault.REPLIES_BEFORE_SYNC.plant();
        CoordinationScenario original = CoordinationSearch.scenario(
                PlantedFaultsSearch.firstSeedThatFinds(PlantedFault.REPLIES_BEFORE_SYNC, 1, 30)
                        .orElseThrow());
        Rule rule = CoordinationRun.play(original, planted).firstViolatedRule().orElseThrow();
        CoordinationScenario shrunk = CoordinationSearch.shrink(original, rule, planted);
        assertThat(shrunk.faultSteps())
                .isNotEmpty()
                .hasSizeLessThan(original.faultSteps().size());
        assertThat(CoordinationRun.play(CoordinationScenario.parse(shrunk.toString()), planted)
                        .violations())
                .anyMatch(violation -> violation.rule() == rule);
    }

    private static CoordinationScenario scenario(String name) throws IOException {
        String path = "/scenarios/coordination/" + name + ".txt";
        try (InputStream in = CoordinationSearchTest.class.getResourceAsStream(path)) {
            return CoordinationScenario.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }
}
