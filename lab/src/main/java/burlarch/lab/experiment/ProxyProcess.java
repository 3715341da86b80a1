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
 * A proxy as a real process. A shell stands between it and us, which kills it when our end of a pipe closes:
 * it does not outlive us, however we end.
 */
final class ProxyProcess {
    private static final String KEEPER = "exec 3<&0; \"$@\" </dev/null 3<&- >>\"$LOG\" 2>&1 & child=$!; "
            + "echo $child; (read -r x <&3; kill -9 $child) >/dev/null 2>&1 & watch=$!; exec 3<&-; "
            + "wait $child; "
            + "status=$?; kill $watch 2>/dev/null; exit $status";
    private static final long READY_MS = 30_000;
    /** As Linux counts CPU time in /proc. */
    private static final double TICKS_PER_SECOND = 100;

    /**
     * What a process has used.
     *
     * @param cpuS processor time since its start, in seconds
     * @param rssMb resident memory, in megabytes
     * @param threads that it has now
     */
    record Usage(double cpuS, double rssMb, int threads) {}

    final String name;
    final InetSocketAddress address;
    private final Path home;
    private final List<String> command;
    private final Path config;
    private final Path log;
    private Process keeper;
    private long pid;
    private long startedNanos;
    private long endedNanos;

    ProxyProcess(String name, InetSocketAddress address, Path jar, List<String> command, Path config, Path log) {
        this.name = name;
        this.home = home(jar);
        this.address = address;
        this.command = command;
        this.config = config;
        this.log = log;
    }

    /**
     * A port of loopback that nobody holds at the moment, from under those that the system hands out: one of
     * these may be some connection's own before the proxy binds it, seconds later.
     */
    static int freePort(String host) throws IOException {
        for (int i = 0; i < 100; i++) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Held: the next one.
            }
        }
        throw new IOException("no port is free at " + host);
    }

    /** The checkout, where proxies run as on the platform: an archive holds for a path as it was given. */
    private static Path home(Path jar) {
        return jar.toAbsolutePath().normalize().getParent().getParent().getParent();
    }

    /** The flags of the platform, with the archive of classes where the build has made one. */
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
                            + home(jar).relativize(archive.toAbsolutePath().normalize())));
        }
        command.addAll(limits.jvm());
        command.addAll(List.of(
                "-jar", home(jar).relativize(jar.toAbsolutePath().normalize()).toString(), "serve"));
        command.addAll(limits.arguments());
        return command;
    }

    /** Starts it, without waiting until it is ready. */
    synchronized void start() throws IOException {
        List<String> words = new ArrayList<>(List.of("/bin/sh", "-c", KEEPER, "burlarch-keeper"));
        words.addAll(command);
        ProcessBuilder builder = new ProcessBuilder(words).redirectError(ProcessBuilder.Redirect.DISCARD);
        builder.directory(home.toFile());
        builder.environment().put("EDGE_CONFIG", config.toAbsolutePath().toString());
        builder.environment().put("EDGE_NAME", name);
        builder.environment().put("LOG", log.toAbsolutePath().toString());
        keeper = builder.start();
        BufferedReader out =
                new BufferedReader(new InputStreamReader(keeper.getInputStream(), StandardCharsets.US_ASCII));
        String line = out.readLine();
        if (line == null || !line.matches("[0-9]+")) {
            throw new IOException("proxy " + name + " cannot be started: " + command.get(0));
        }
        pid = Long.parseLong(line);
        startedNanos = System.nanoTime();
        endedNanos = 0;
        Process started = keeper;
        started.onExit().thenRun(() -> ended(started));
    }

    private synchronized void ended(Process which) {
        if (which == keeper && endedNanos == 0) {
            endedNanos = System.nanoTime();
        }
    }

    /** @throws IOException with the log's last line where it ends or is not ready in 30 s */
    void awaitReady() throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (System.nanoTime() < untilNanos) {
            if (healthy()) {
                return;
            }
            if (!keeper.isAlive()) {
                throw new IOException("proxy " + name + " has ended: " + lastLine());
            }
            Thread.sleep(10);
        }
        throw new IOException("proxy " + name + " is not ready after " + READY_MS / 1000 + " s: " + lastLine());
    }

    private boolean healthy() {
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

    private String lastLine() {
        try {
            List<String> lines = Files.readAllLines(log);
            return lines.isEmpty() ? "it has said nothing" : lines.get(lines.size() - 1);
        } catch (IOException e) {
            return "its log can't be read: " + e.getMessage();
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
        return keeper != null && keeper.isAlive();
    }

    /** @return whether it has ended within that time */
    boolean await(long ms) throws InterruptedException {
        return keeper == null || keeper.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    /** Kills it, whatever it is doing. */
    void destroy() {
        if (keeper != null) {
            try {
                // The keeper's pipe ends, and it kills.
                keeper.getOutputStream().close();
                if (!keeper.waitFor(5, TimeUnit.SECONDS)) {
                    keeper.descendants().forEach(ProcessHandle::destroyForcibly);
                    keeper.destroyForcibly();
                }
            } catch (IOException e) {
                keeper.descendants().forEach(ProcessHandle::destroyForcibly);
                keeper.destroyForcibly();
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

    /** 0 while it runs. */
    synchronized long endedNanos() {
        return endedNanos;
    }

    /** @return null where it does not run */
    Usage usage() {
        try {
            String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
            // The name, in brackets, may hold blanks.
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double cpuS = (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_SECOND;
            return new Usage(cpuS, Long.parseLong(fields[21]) * 4096 / 1e6, Integer.parseInt(fields[17]));
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }
}
