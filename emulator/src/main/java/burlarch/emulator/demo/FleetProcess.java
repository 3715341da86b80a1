package burlarch.emulator.demo;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the fleet: started, killed and ended by its own id. */
final class FleetProcess {
    private static final long GRACE_SECONDS = 5;

    private final List<String> command;
    private final Path directory;
    private final Path settings;
    private final Path log;
    private Process process;
    private boolean over;

    FleetProcess(String role, Path jar, Path settings, Path log) {
        this(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx96m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-XX:-UsePerfData",
                        "-jar",
                        jar.toString(),
                        role),
                Path.of("").toAbsolutePath(),
                settings,
                log);
    }

    /** @param directory in which the command is run */
    FleetProcess(List<String> command, Path directory, Path settings, Path log) {
        this.command = List.copyOf(command);
        this.directory = directory;
        this.settings = settings;
        this.log = log;
    }

    synchronized void start() throws IOException {
        if (over) {
            throw new IOException("the demo is over");
        }
        ProcessBuilder builder = new ProcessBuilder(command).directory(directory.toFile());
        builder.environment().put("BURLARCH_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    /** Kills it at once, as a loss of power would. */
    synchronized void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** Kills it if it runs, and lets it never start again. */
    synchronized void killForGood() throws InterruptedException {
        over = true;
        if (process != null) {
            kill();
        }
    }

    /** Whether it runs. */
    synchronized boolean alive() {
        return process != null && process.isAlive();
    }

    synchronized long pid() {
        return process.pid();
    }

    /** Asks it to end. */
    synchronized void terminate() {
        if (process != null) {
            process.destroy();
        }
    }

    /** Ends it: asked first, by force when it takes too long. */
    synchronized void end() throws InterruptedException {
        if (process != null) {
            process.destroy();
            if (!process.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
                process.waitFor();
            }
        }
    }
}
