package burlarch.lab.experiment;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs a command-line tool of the current JDK. The whole output must fit into the pipe buffer, as it is read after
 * the tool has ended.
 */
final class JdkTool {
    private static final long TIMEOUT_S = 30;

    private JdkTool() {}

    /**
     * Runs the tool to its end.
     *
     * @return its output without surrounding blanks
     * @throws IOException if it fails, with its output, or if it does not end within 30 s
     */
    static String run(String tool, String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", tool).toString()));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        try {
            process.getOutputStream().close();
            if (!process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)) {
                throw new IOException(tool + " did not end within 30 s");
            }
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
            if (process.exitValue() != 0) {
                throw new IOException(tool + " failed: " + output);
            }
            return output;
        } finally {
            process.destroyForcibly();
        }
    }
}
