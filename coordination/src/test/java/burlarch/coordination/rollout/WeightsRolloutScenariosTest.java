package burlarch.coordination.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class WeightsRolloutScenariosTest {
    private static final Path SCENARIOS = Path.of("src/test/resources/rollout");

    static List<String> scenarios() throws IOException {
        try (Stream<Path> files = Files.list(SCENARIOS)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void scenarioMeetsItsExpectations(String name) throws IOException {
        RolloutScenario scenario = new RolloutScenario();

        scenario.run(Files.readAllLines(SCENARIOS.resolve(name)));

        assertThat(String.join("\n", scenario.actual())).isEqualTo(String.join("\n", scenario.expected()));
    }
}
