package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A router or controller, started with the command of the deploy file. It can be killed and started again. */
final class FleetProcess {
    private static final Path DEPLOY_FILE = Path.of("deploy", "system.toml");
    private static final String RUN_LINE_START = "run = \"";

    private final String name;
    private final List<String> command;
    private final Path settings;
    private final Path log;
    private Process process;
    private boolean endedForGood;

    FleetProcess(String name, String role, Path settings, Path log) throws IOException {
        this.name = name;
        this.command = commandOf(role);
        this.settings = settings;
        this.log = log;
    }

    /** Returns the command of a role from the deploy file, divided at spaces. */
    private static List<String> commandOf(String role) throws IOException {
        for (String line : Files.readAllLines(DEPLOY_FILE)) {
            if (line.startsWith(RUN_LINE_START) && line.endsWith(" " + role + "\"")) {
                return List.of(line.substring(RUN_LINE_START.length(), line.length() - 1)
                        .split(" "));
            }
        }
        throw new IOException(DEPLOY_FILE + " has no command of role " + role);
    }

    String name() {
        return name;
    }

    /** Starts the process, unless it was ended for good. */
    synchronized void start() throws IOException {
        if (endedForGood) {
            return;
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("BURLARCH_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Sends SIGKILL without waiting for the end. */
    synchronized void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Sends SIGKILL; the process can't be started again. */
    synchronized void endForGood() {
        endedForGood = true;
        kill();
    }

    /** Sends a signal by its name, as STOP, CONT or TERM. */
    synchronized void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Waits for the end of a process that was killed. */
    void awaitEnd() throws InterruptedException {
        Process ending;
        synchronized (this) {
            ending = process;
        }
        if (ending != null) {
            ending.waitFor(10, TimeUnit.SECONDS);
        }
    }
}
