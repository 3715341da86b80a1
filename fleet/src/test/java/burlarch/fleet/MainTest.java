package burlarch.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Output and exit codes of the command line. */
class MainTest {
    @TempDir
    Path folder;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private int run(String... arguments) {
        return Main.execute(
                arguments,
                new PrintStream(output, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8));
    }

    private String output() {
        return output.toString(StandardCharsets.UTF_8);
    }

    private String errors() {
        return errors.toString(StandardCharsets.UTF_8);
    }

    private String writeSettings(String text) throws IOException {
        return Files.writeString(folder.resolve("boot.toml"), text).toString();
    }

    @Test
    void helpOptionPrintsEveryCommand() {
        assertThat(run("--help")).isEqualTo(Main.EXIT_SUCCESS);
        assertThat(output()).contains("router", "controller", "check-settings FILE", "--version");
        assertThat(errors()).isEmpty();
    }

    @Test
    void helpOptionOfEachCommandPrintsUsage() {
        for (String command : new String[] {"router", "controller", "check-settings", "config"}) {
            output.reset();
            assertThat(run(command, "--help")).as(command).isEqualTo(Main.EXIT_SUCCESS);
            assertThat(output()).contains(command, "Exit codes");
        }
        assertThat(errors()).isEmpty();
    }

    @Test
    void versionOptionPrintsVersionNumber() {
        assertThat(run("--version")).isEqualTo(Main.EXIT_SUCCESS);
        assertThat(output()).matches("burlarch [0-9]+\\.[0-9]+.*\\R");
    }

    @Test
    void invalidArgumentsPrintErrorAndUsage() {
        for (String[] invalidArguments : new String[][] {
            {}, {"steer"}, {"--fast"}, {"check-settings"}, {"check-settings", "a", "b"}, {"router", "x"}
        }) {
            output.reset();
            errors.reset();
            assertThat(run(invalidArguments))
                    .as(String.join(" ", invalidArguments))
                    .isEqualTo(Main.EXIT_INVALID_INPUT);
            assertThat(errors()).startsWith("burlarch: ").contains("COMMAND");
            assertThat(output()).isEmpty();
        }
    }

    @Test
    void validSettingsFileIsAccepted() throws Exception {
        String file = writeSettings("node_name = \"n1\"\nip = \"10.9.0.1\"\nport_range = [7000, 7009]\n");
        assertThat(run("check-settings", file)).isEqualTo(Main.EXIT_SUCCESS);
        assertThat(output()).contains("proper settings of n1");
        assertThat(errors()).isEmpty();
    }

    @Test
    void invalidSettingsFilePrintsOneProblemPerLine() throws Exception {
        assertThat(run("check-settings", writeSettings("ip = 4\n"))).isEqualTo(Main.EXIT_INVALID_INPUT);
        assertThat(errors().lines()).hasSize(3).allMatch(line -> line.startsWith("burlarch: "));
    }
}
