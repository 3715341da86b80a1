package burlarch.review;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: three core machines with controllers, and edge machines with routers. The settings
 * are those of the small sites; {@code bootstrap} is true at the first start only.
 */
final class Deployment implements AutoCloseable {
    static final int CORE_MACHINES = 3;

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final long POLL_MILLIS = 50;

    private final LoopbackSubnet subnet;
    private final Path folder;
    private final Record record;
    private final List<FleetProcess> controllers = new ArrayList<>();
    private final List<FleetProcess> routers = new ArrayList<>();
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(CALL_TIMEOUT).build();

    /** Writes the settings of all processes; {@link #start} starts them. */
    Deployment(Path repository, LoopbackSubnet subnet, int edgeMachines, Record record) throws IOException {
        this.subnet = subnet;
        this.record = record;
        folder = Files.createTempDirectory("burlarch-review-");
        List<String> controllerCommand = DeployFile.command(repository, "controller");
        List<String> routerCommand = DeployFile.command(repository, "router");
        for (int number = 1; number <= CORE_MACHINES; number++) {
            Files.createDirectories(folder.resolve("core-" + number + "-data"));
            controllers.add(process(repository, "core-" + number, controllerCommand, coreSettings(number, true)));
        }
        for (int number = 1; number <= edgeMachines; number++) {
            routers.add(process(repository, "edge-" + number, routerCommand, edgeSettings(number, true)));
        }
    }

    private FleetProcess process(Path repository, String name, List<String> command, String settings)
            throws IOException {
        Path file = Files.writeString(folder.resolve(name + ".toml"), settings);
        return new FleetProcess(name, command, repository, file, folder.resolve(name + ".log"), record);
    }

    /** Starts all processes; from now on their settings say that it isn't the first start any more. */
    void start() throws IOException, InterruptedException {
        for (FleetProcess process : processes()) {
            process.start();
        }
    }

    /** Rewrites the settings as the platform has them after the first start. */
    void endBootstrap() throws IOException {
        for (int number = 1; number <= CORE_MACHINES; number++) {
            Files.writeString(folder.resolve("core-" + number + ".toml"), coreSettings(number, false));
        }
        for (int number = 1; number <= routers.size(); number++) {
            Files.writeString(folder.resolve("edge-" + number + ".toml"), edgeSettings(number, false));
        }
    }

    List<FleetProcess> processes() {
        return Stream.concat(controllers.stream(), routers.stream()).toList();
    }

    List<FleetProcess> routers() {
        return List.copyOf(routers);
    }

    /** Base of the control address of a controller, numbered from 1. */
    String controlUrl(int number) {
        return "http://" + subnet.core(number) + ":" + LoopbackSubnet.CONTROL_PORT;
    }

    /** Sends the configuration, again and again to each controller in turn, until one acknowledges it. */
    void putConfiguration(String json, long ifMatch) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + START_TIMEOUT.toNanos();
        for (int attempt = 0; System.nanoTime() - endNanos < 0; attempt++) {
            int controller = 1 + attempt % CORE_MACHINES;
            int status = call(HttpRequest.newBuilder(URI.create(controlUrl(controller) + "/burlarch/config"))
                    .header("If-Match", Long.toString(ifMatch))
                    .header("Content-Type", "application/json")
                    .PUT(HttpRequest.BodyPublishers.ofString(json)));
            if (status == 200) {
                record.add("configuration acknowledged by core-" + controller);
                return;
            }
            Thread.sleep(POLL_MILLIS);
        }
        throw new IOException("no controller acknowledged the configuration");
    }

    /** Waits until all routers say that they are ready. */
    void awaitReady() throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + START_TIMEOUT.toNanos();
        for (int number = 1; number <= routers.size(); number++) {
            URI uri = URI.create(
                    "http://" + subnet.edge(number) + ":" + LoopbackSubnet.READINESS_PORT + "/burlarch/readyz");
            while (call(HttpRequest.newBuilder(uri).GET()) != 200) {
                if (System.nanoTime() - endNanos >= 0) {
                    throw new IOException("router edge-" + number + " did not become ready");
                }
                Thread.sleep(POLL_MILLIS);
            }
        }
        record.add("all routers are ready");
    }

    /** Returns the status of a call, 0 if there was no answer within a second. */
    int call(HttpRequest.Builder request) throws InterruptedException {
        try {
            return http.send(request.timeout(CALL_TIMEOUT).build(), HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException noAnswer) {
            return 0;
        }
    }

    private String coreSettings(int number, boolean bootstrap) {
        String data = "data_dir = \"" + folder.resolve("core-" + number + "-data") + "\"\n";
        String listen = "control = \"" + subnet.core(number) + ":" + LoopbackSubnet.CONTROL_PORT + "\"\n";
        return settings("core-" + number, "core", "control_plane", subnet.core(number), data, listen, bootstrap);
    }

    private String edgeSettings(int number, boolean bootstrap) {
        String listen = "front = \"" + subnet.edge(number) + ":" + LoopbackSubnet.FRONT_PORT + "\"\nreadiness = \""
                + subnet.edge(number) + ":" + LoopbackSubnet.READINESS_PORT + "\"\n";
        return settings("edge-" + number, "edge", "edge", subnet.edge(number), "", listen, bootstrap);
    }

    /** The settings of one process, with the figures of the small sites. */
    private String settings(
            String name,
            String machineClass,
            String serves,
            String ip,
            String data,
            String listen,
            boolean bootstrap) {
        String seeds = IntStream.rangeClosed(1, CORE_MACHINES)
                .mapToObj(number -> "\"" + subnet.core(number) + ":" + LoopbackSubnet.CONTROL_PORT + "\"")
                .collect(Collectors.joining(", "));
        boolean core = machineClass.equals("core");
        return "node_name = \"" + name + "\"\nmachine_class = \"" + machineClass + "\"\nserves = [\"" + serves
                + "\"]\nip = \"" + ip + "\"\nzone = \"hall\"\nregion = \"home\"\nport_range = ["
                + LoopbackSubnet.FIRST_NODE_PORT + ", " + LoopbackSubnet.LAST_NODE_PORT + "]\nseeds = [" + seeds
                + "]\nbootstrap = " + bootstrap + "\ncounts_for_quorum = " + core + "\n" + data
                + "discovery = \"registry\"\nentry = \"virtual_ip\"\nheartbeat_ms = " + StandInInstance.HEARTBEAT_MILLIS
                + "\n[zones]\nhall = \"home\"\n[listen]\n" + listen
                + (core
                        ? "[limits]\ncpu_share = 0.9\ncpu_cores = 1\nmemory_mb = 426\nmax_fds = 4096\n"
                                + "link_mbps = 1000.0\ndisk_mb = 128\n"
                        : "[limits]\ncpu_share = 0.75\ncpu_cores = 1\nmemory_mb = 430\nmax_fds = 4100\n"
                                + "link_mbps = 1000.0\ndisk_mb = 0\n")
                + "[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
                + "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n"
                + "drain_timeout_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n"
                + "downgrade_ms = 250\nouter_ms = 5000\nrevocation = false\nrevoke_ms = 5000\nretry_budget = 0.2\n"
                + "budget_window_s = 10\nbudget_slack = 54\nrecovery_s = 12\ntransit_ms = 120\nagain_s = 10\n"
                + "fencing = true\nlease_ms = 3000\nthaw_ms = 300\nversion_ms = 8000\nversion_all_ms = 11000\n";
    }

    /** Ends all processes and removes the temporary folder; further calls have no effect. */
    @Override
    public synchronized void close() throws IOException {
        for (FleetProcess process : processes()) {
            process.end();
        }
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
