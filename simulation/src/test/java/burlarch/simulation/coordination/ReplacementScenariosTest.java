package burlarch.simulation.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.simulation.coordination.CoordinationRun.Result;
import burlarch.simulation.coordination.node.ComponentOverrides;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Regression scenarios in which acceptors are replaced before a last fault. Each scenario caused a loss that the
 * usual search had never generated.
 */
class ReplacementScenariosTest {
    /**
     * Guards against a controller that uses the acceptors of the first start, or none, after a restart instead of those
     * on its own disk, so that no controller contacts an existing quorum.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "two-replaced-then-all-lose-power",
                "planned-then-wiped",
                "five-lose-two",
                "power-lost-inside-the-change",
                "successor-with-a-full-disk",
                "full-disk-then-wiped"
            })
    void acceptorsAreRestoredFromRemainingDisks(String name) throws IOException {
        Result result = CoordinationRun.play(scenario(name), ComponentOverrides.NONE);
        assertThat(result.violations()).isEmpty();
        assertThat(result.acknowledged()).isPositive();
    }

    private static CoordinationScenario scenario(String name) throws IOException {
        String path = "/scenarios/replacement/" + name + ".txt";
        try (InputStream in = ReplacementScenariosTest.class.getResourceAsStream(path)) {
            return CoordinationScenario.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }
}
