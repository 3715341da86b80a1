package burlarch.lab.experiment;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A proxy that runs as a separate process under a supervising shell. The shell kills the proxy when the pipe from
 * this process closes, so the proxy never outlives this process, however it ends.
 */
final class ProxyProcess {
    private static final String SUPERVISOR_SCRIPT = "exec 3<&0; \"$@\" </dev/null 3<&- >>\"$LOG\" 2>&1 & child=$!; "
            + "echo $child; (read -r x <&3; kill -9 $child) >/dev/null 2>&1 & watch=$!; exec 3<&-; "
            + "wait $child; "
            + "status=$?; kill $watch 2>/dev/null; exit $status";
    private static final long READY_TIMEOUT_MS = 30_000;
    /** Clock ticks per second in which Linux counts CPU time in /proc. */
    private static final double TICKS_PER_SECOND = 100;

    /**
     * Resource usage of a process.
     *
     * @param cpuS CPU time since its start, in seconds
     * @param rssMb resident memory, in megabytes
     * @param threads current number of threads
     */
    record Usage(double cpuS, double rssMb, int threads) {}

    final String name;
    final InetSocketAddress address;
    private final Path repositoryRoot;
    private final List<String> command;
    private final Path configFile;
    private final Path logFile;
    private Process supervisor;
    private long pid;
    private long startedNanos;
    private long endedNanos;

    ProxyProcess(
            String name, InetSocketAddress address, Path jar, List<String> command, Path configFile, Path logFile) {
        this.name = name;
        this.repositoryRoot = repositoryRoot(jar);
        this.address = address;
        this.command = command;
        this.configFile = configFile;
        this.logFile = logFile;
    }

    /**
     * Finds a free port below the ephemeral range. The system could give an ephemeral port to another connection
     * before the proxy binds it, seconds later.
     */
    static int freePort(String host) throws IOException {
        for (int i = 0; i < 100; i++) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // In use: try another.
            }
        }
        throw new IOException("no port is free at " + host);
    }

    /**
     * The root of the checkout, which is the working directory of proxies as on the platform: the class-data
     * archive is valid only for the relative path that it was created with.
     */
    private static Path repositoryRoot(Path jar) {
        return jar.toAbsolutePath().normalize().getParent().getParent().getParent();
    }

    /**
     * Command line with the JVM flags of the platform, and with the class-data archive if the build has created
     * one.
     */
    static List<String> command(Path jar, ExperimentPlan.Proxies limits) {
        List<String> command = new ArrayList<>();
        if (!limits.pin().isEmpty()) {
            command.addAll(List.of("taskset", "-c", limits.pin()));
        }
        command.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:CompileThresholdScaling=0.2",
                "-XX:ActiveProcessorCount=1",
                "-XX:-UsePerfData",
                "-Xms" + limits.heapMb() + "m",
                "-Xmx" + limits.heapMb() + "m",
                "-Xmn" + limits.heapMb() / 2 + "m",
                "-Xss512k",
                "-XX:MaxDirectMemorySize=16m",
                "-XX:MaxMetaspaceSize=40m",
                "-XX:ReservedCodeCacheSize=24m"));
        Path archive = jar.resolveSibling("burlarch.jsa");
        if (Files.exists(archive)) {
            command.addAll(List.of(
                    "-Xshare:auto",
                    "-XX:SharedArchiveFile="
                            + repositoryRoot(jar)
                                    .relativize(archive.toAbsolutePath().normalize())));
        }
        command.addAll(limits.jvm());
        command.addAll(List.of(
                "-jar",
                repositoryRoot(jar).relativize(jar.toAbsolutePath().normalize()).toString(),
                "serve"));
        command.addAll(limits.arguments());
        return command;
    }

    /** Starts the process without waiting until it is ready. */
    synchronized void start() throws IOException {
        List<String> commandLine = new ArrayList<>(List.of("/bin/sh", "-c", SUPERVISOR_SCRIPT, "burlarch-keeper"));
        commandLine.addAll(command);
        ProcessBuilder builder = new ProcessBuilder(commandLine).redirectError(ProcessBuilder.Redirect.DISCARD);
        builder.directory(repositoryRoot.toFile());
        builder.environment().put("EDGE_CONFIG", configFile.toAbsolutePath().toString());
        builder.environment().put("EDGE_NAME", name);
        builder.environment().put("LOG", logFile.toAbsolutePath().toString());
        supervisor = builder.start();
        BufferedReader supervisorOutput =
                new BufferedReader(new InputStreamReader(supervisor.getInputStream(), StandardCharsets.US_ASCII));
        String line = supervisorOutput.readLine();
        if (line == null || !line.matches("[0-9]+")) {
            throw new IOException("proxy " + name + " cannot be started: " + command.get(0));
        }
        pid = Long.parseLong(line);
        startedNanos = System.nanoTime();
        endedNanos = 0;
        Process started = supervisor;
        started.onExit().thenRun(() -> onSupervisorExit(started));
    }

    private synchronized void onSupervisorExit(Process endedSupervisor) {
        if (endedSupervisor == supervisor && endedNanos == 0) {
            endedNanos = System.nanoTime();
        }
    }

    /**
     * Waits until the health check succeeds.
     *
     * @throws IOException with the last log line if the process ends or is not ready within 30 s
     */
    void awaitReady() throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        while (System.nanoTime() < deadlineNanos) {
            if (isHealthy()) {
                return;
            }
            if (!supervisor.isAlive()) {
                throw new IOException("proxy " + name + " has ended: " + lastLogLine());
            }
            Thread.sleep(10);
        }
        throw new IOException(
                "proxy " + name + " is not ready after " + READY_TIMEOUT_MS / 1000 + " s: " + lastLogLine());
    }

    private boolean isHealthy() {
        try (Socket socket = new Socket()) {
            socket.connect(address, 200);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write("GET /_health HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith(" 200");
        } catch (IOException e) {
            return false;
        }
    }

    private String lastLogLine() {
        try {
            List<String> lines = Files.readAllLines(logFile);
            return lines.isEmpty() ? "its log is empty" : lines.get(lines.size() - 1);
        } catch (IOException e) {
            return "its log cannot be read: " + e.getMessage();
        }
    }

    void signal(String signal) throws IOException, InterruptedException {
        if (isAlive()) {
            new ProcessBuilder("/bin/kill", "-" + signal, Long.toString(pid))
                    .redirectErrorStream(true)
                    .start()
                    .waitFor();
        }
    }

    boolean isAlive() {
        return supervisor != null && supervisor.isAlive();
    }

    /** @return whether the process ended within the given time */
    boolean await(long timeoutMs) throws InterruptedException {
        return supervisor == null || supervisor.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Kills the process in whatever state it is. */
    void destroy() {
        if (supervisor != null) {
            try {
                // Closing the supervisor's standard input makes it kill the proxy.
                supervisor.getOutputStream().close();
                if (!supervisor.waitFor(5, TimeUnit.SECONDS)) {
                    supervisor.descendants().forEach(ProcessHandle::destroyForcibly);
                    supervisor.destroyForcibly();
                }
            } catch (IOException e) {
                supervisor.descendants().forEach(ProcessHandle::destroyForcibly);
                supervisor.destroyForcibly();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    long pid() {
        return pid;
    }

    synchronized long startedNanos() {
        return startedNanos;
    }

    /** Returns the time at which the process ended; 0 while it runs. */
    synchronized long endedNanos() {
        return endedNanos;
    }

    /** @return the current usage; null if the process does not run */
    Usage usage() {
        try {
            String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
            // The process name, in parentheses, may contain blanks.
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double cpuS = (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_SECOND;
            return new Usage(cpuS, Long.parseLong(fields[21]) * 4096 / 1e6, Integer.parseInt(fields[17]));
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }
}
