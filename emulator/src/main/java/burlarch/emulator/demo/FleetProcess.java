package burlarch.emulator.demo;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A router or controller process, started and stopped by its own process id. Thread-safe. */
final class FleetProcess {
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 5;

    private final List<String> command;
    private final Path directory;
    private final Path settings;
    private final Path log;
    private Process process;
    private boolean closed;

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
        if (closed) {
            throw new IOException("the demo is over");
        }
        ProcessBuilder builder = new ProcessBuilder(command).directory(directory.toFile());
        builder.environment().put("BURLARCH_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    /** Kills it, as a power failure would. */
    synchronized void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** Kills it if it runs; it can not be started again. */
    synchronized void killForGood() throws InterruptedException {
        closed = true;
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

    /** Sends it a termination signal. */
    synchronized void terminate() {
        if (process != null) {
            process.destroy();
        }
    }

    /** Stops it gracefully, or kills it after a time-out. */
    synchronized void end() throws InterruptedException {
        if (process != null) {
            process.destroy();
            if (!process.waitFor(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
                process.waitFor();
            }
        }
    }
}
