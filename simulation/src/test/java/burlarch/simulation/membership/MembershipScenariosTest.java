package burlarch.simulation.membership;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.membership.swim.SwimSettings;
import burlarch.simulation.NetworkSettings;
import burlarch.simulation.scenario.Scenario;
import burlarch.simulation.scenario.ScenarioRunner;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs each membership scenario with ten members and many seeds. */
class MembershipScenariosTest {
    private static final int MEMBER_COUNT = 10;
    private static final int SEED_COUNT = 50;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "kill-and-restart",
                "freeze",
                "freeze-all",
                "one-way-cut",
                "halves",
                "long-cut",
                "seeds-come-late",
                "seeds-gone",
                "storm",
                "core-restarts"
            })
    void scenarioExpectationsHoldWithEverySeed(String name) throws IOException {
        Scenario scenario = Scenario.parse(text(name));
        for (int seed = 1; seed <= SEED_COUNT; seed++) {
            MembershipFleet fleet =
                    new MembershipFleet(MEMBER_COUNT, seed, NetworkSettings.defaults(), SwimSettings.defaults());
            assertThat(new ScenarioRunner(fleet.simulation(), scenario, fleet).run())
                    .as("%s with seed %d", name, seed)
                    .isEmpty();
        }
    }

    private static String text(String name) throws IOException {
        String path = "/scenarios/" + name + ".txt";
        try (InputStream in = MembershipScenariosTest.class.getResourceAsStream(path)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
