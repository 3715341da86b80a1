package burlarch.review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the project, started with the command of its role in the deploy file. */
final class FleetProcess {
    private static final long END_TIMEOUT_SECONDS = 10;

    private final String name;
    private final List<String> command;
    private final Path repository;
    private final Path settings;
    private final Path log;
    private final Record record;
    private volatile Process process;
    /** Whether the run is ending, so that the process must not be started again; guarded by this. */
    private boolean ended;

    FleetProcess(String name, List<String> command, Path repository, Path settings, Path log, Record record) {
        this.name = name;
        this.command = command;
        this.repository = repository;
        this.settings = settings;
        this.log = log;
        this.record = record;
    }

    /** Starts the process, or starts it again; fails once the run is ending. */
    synchronized void start() throws IOException {
        if (ended) {
            throw new IOException("the run is ending");
        }
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(repository.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("BURLARCH_NODE_FILE", settings.toString());
        builder.environment().remove("JAVA_TOOL_OPTIONS");
        process = builder.start();
        record.add("process " + name + " started");
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
        record.add("process " + name + " gets SIGTERM");
    }

    /** Sends SIGKILL. */
    void kill() {
        process.destroyForcibly();
        record.add("process " + name + " gets SIGKILL");
    }

    /** Ends the process if it still runs, and waits for its end. It can't be started afterwards. */
    synchronized void end() {
        ended = true;
        if (process == null) {
            return;
        }
        try {
            process.destroyForcibly().waitFor(END_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The exit status; valid only once the process has ended. */
    int exitStatus() {
        return process.exitValue();
    }

    String name() {
        return name;
    }
}
