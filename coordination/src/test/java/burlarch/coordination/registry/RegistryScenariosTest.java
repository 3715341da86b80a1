package burlarch.coordination.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs the scenarios in {@code registry/*.scenario}; {@link RegistryScenario} describes their format. */
class RegistryScenariosTest {
    private static final int MIN_SCENARIOS = 10;

    static Stream<Path> scenarios() throws IOException, URISyntaxException {
        Path folder =
                Path.of(RegistryScenariosTest.class.getResource("/registry").toURI());
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(".scenario")).sorted().toList().stream();
        }
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void scenarioMeetsItsExpectations(Path path) throws IOException {
        RegistryScenario scenario = new RegistryScenario();
        List<String> lines = Files.readAllLines(path);
        for (int i = 0; i < lines.size(); i++) {
            scenario.runLine(path.getFileName() + ":" + (i + 1), lines.get(i));
        }
        assertThat(scenario.checks()).as("checks in %s", path).isPositive();
    }

    @Test
    void allScenariosAreFound() throws IOException, URISyntaxException {
        assertThat(scenarios()).hasSizeGreaterThanOrEqualTo(MIN_SCENARIOS);
    }
}
