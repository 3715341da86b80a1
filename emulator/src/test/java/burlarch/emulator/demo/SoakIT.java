package burlarch.emulator.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs a short soak with real processes, as the deployment starts them. */
class SoakIT {
    private static final String PROJECT_ROOT = "..";

    @Test
    @Timeout(300)
    void shortSoakViolatesNoRule() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream printed = new PrintStream(output, true);
        int status = Main.execute(
                new String[] {"soak", "--seed", "3", "--seconds", "25", "--routers", "2", "--home", PROJECT_ROOT},
                printed,
                printed);
        assertThat(status).as(output.toString()).isEqualTo(Main.PASSED);
    }
}
