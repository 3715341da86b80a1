package burlarch.emulator.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

/** Tests the output and the exit codes of the command line. */
class MainTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private int run(String... arguments) {
        return Main.execute(arguments, new PrintStream(output, true), new PrintStream(errors, true));
    }

    @Test
    void helpPrintsUsageAndPasses() {
        assertThat(run("--help")).isZero();
        assertThat(run("fleet-demo", "--help")).isZero();
        assertThat(output.toString()).contains("fleet-demo", "--seconds", "Exit codes");
    }

    @Test
    void invalidArgumentsPrintUsageAndDoNotRun() {
        assertThat(run("fleet-demo", "--fast")).isEqualTo(Main.COULD_NOT_RUN);
        assertThat(run("dance")).isEqualTo(Main.COULD_NOT_RUN);
        assertThat(run()).isEqualTo(Main.COULD_NOT_RUN);
        assertThat(errors.toString()).contains("burlarch: ", "fleet-demo");
    }

    @Test
    void missingProgramFileIsReported() {
        assertThat(run("fleet-demo", "--jar", "no/such.jar")).isEqualTo(Main.COULD_NOT_RUN);
        assertThat(errors.toString()).contains("no/such.jar is not there").contains("mvn");
    }

    @Test
    void soakWithInvalidOptionsDoesNotStart() {
        assertThat(run("soak", "--seed", "x")).isEqualTo(Main.COULD_NOT_RUN);
        assertThat(run("soak", "--seconds", "1")).isEqualTo(Main.COULD_NOT_RUN);
        assertThat(run("soak", "--routers", "61")).isEqualTo(Main.COULD_NOT_RUN);
        assertThat(run("soak", "--home", "no/such")).isEqualTo(Main.COULD_NOT_RUN);
        assertThat(errors.toString()).contains("--seconds must be", "--routers must be", "burlarch.jar is not there");
    }
}
