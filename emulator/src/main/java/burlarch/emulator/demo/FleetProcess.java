package burlarch.emulator.demo;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Router or controller process, which can be started and stopped repeatedly. Thread-safe. */
final class FleetProcess {
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 5;

    private final List<String> command;
    private final Path directory;
    private final Path settings;
    private final Path log;
    private Process process;
    private boolean startPrevented;

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

    /** @param directory working directory of the process */
    FleetProcess(List<String> command, Path directory, Path settings, Path log) {
        this.command = List.copyOf(command);
        this.directory = directory;
        this.settings = settings;
        this.log = log;
    }

    synchronized void start() throws IOException {
        if (startPrevented) {
            throw new IOException("process cannot be started after it was killed permanently");
        }
        ProcessBuilder builder = new ProcessBuilder(command).directory(directory.toFile());
        builder.environment().put("BURLARCH_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    /** Kills the process without a graceful shutdown, like a power failure. */
    synchronized void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** Kills the process if it runs, and prevents another start. */
    synchronized void killPermanently() throws InterruptedException {
        startPrevented = true;
        if (process != null) {
            kill();
        }
    }

    /** Returns whether the process runs. */
    synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    synchronized long pid() {
        return process.pid();
    }

    /** Sends a termination signal to the process, if it was started. */
    synchronized void terminate() {
        if (process != null) {
            process.destroy();
        }
    }

    /** Stops the process gracefully, or kills it after a timeout. */
    synchronized void stop() throws InterruptedException {
        if (process != null) {
            process.destroy();
            if (!process.waitFor(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
                process.waitFor();
            }
        }
    }
}
