package burlarch.lab.experiment;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A tool of the JDK that this program runs on, whose texts are short. */
final class JdkTool {
    private static final long PATIENCE_S = 30;

    private JdkTool() {}

    /** @return what it said @throws IOException with that where it fails, or where it does not end in 30 s */
    static String run(String tool, String... arguments) throws IOException, InterruptedException {
        List<String> words = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", tool).toString()));
        words.addAll(List.of(arguments));
        Process process = new ProcessBuilder(words).redirectErrorStream(true).start();
        try {
            process.getOutputStream().close();
            if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
                throw new IOException(tool + " does not end");
            }
            String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
            if (process.exitValue() != 0) {
                throw new IOException(tool + " failed: " + said);
            }
            return said;
        } finally {
            process.destroyForcibly();
        }
    }
}
