package burlarch.emulator.demo;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Processes of the bench: three controllers and a router, each started with the command of the deployment. */
final class BenchFleet implements AutoCloseable {
    private static final int CONTROLLER_COUNT = 3;
    private static final long START_TIMEOUT_NANOS = 30_000_000_000L;
    private static final long POLL_INTERVAL_MILLIS = 5;
    /** Delay of the measured controller, by which time the others no longer wait for it. */
    private static final long LAST_CONTROLLER_DELAY_MILLIS = 3_000;

    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);

    private final LoopbackNetwork network;
    private final Path home;
    private final Path directory;
    private final HttpClient http;
    private final List<FleetProcess> controllers = new ArrayList<>();
    private FleetProcess router;

    /** CPU time and wall-clock time of a process from its start until it is ready. */
    record StartupCost(double cpuSeconds, double wallSeconds) {}

    /**
     * @param home directory in which the commands of the deployment run
     * @param directory directory for settings files and logs
     */
    BenchFleet(LoopbackNetwork network, Path home, Path directory, HttpClient http) {
        this.network = network;
        this.home = home;
        this.directory = directory;
        this.http = http;
    }

    List<String> seeds() {
        List<String> addresses = new ArrayList<>();
        for (int i = 1; i <= CONTROLLER_COUNT; i++) {
            addresses.add(network.controller(i) + ":" + LoopbackNetwork.CONTROL_PORT);
        }
        return addresses;
    }

    String frontAddress() {
        return network.router(1) + ":" + LoopbackNetwork.FRONT_PORT;
    }

    /** Starts the controllers; returns the cost of the last one until its first response that needs a quorum. */
    StartupCost startControllers() throws IOException, InterruptedException {
        for (int i = 1; i <= CONTROLLER_COUNT; i++) {
            Path file = NodeSettingsFile.controller(directory, "controller-" + i, network.controller(i), seeds(), true);
            controllers.add(process("controller", file));
        }
        for (FleetProcess process : controllers.subList(0, CONTROLLER_COUNT - 1)) {
            process.start();
        }
        Thread.sleep(LAST_CONTROLLER_DELAY_MILLIS);
        int lastIndex = CONTROLLER_COUNT - 1;
        return measureStartup(controllers.get(lastIndex), seeds().get(lastIndex), "/burlarch/config", false);
    }

    /** Starts the router; returns its cost until it reports that it is ready. */
    StartupCost startRouter() throws IOException, InterruptedException {
        router = process("router", NodeSettingsFile.router(directory, "router-1", network.router(1), seeds()));
        return measureStartup(
                router, network.router(1) + ":" + LoopbackNetwork.READINESS_PORT, "/burlarch/readyz", true);
    }

    long routerPid() {
        return router.pid();
    }

    long controllerPid(int index) {
        return controllers.get(index).pid();
    }

    int controllerCount() {
        return CONTROLLER_COUNT;
    }

    private FleetProcess process(String role, Path file) throws IOException {
        return new FleetProcess(DeploymentCommand.of(home, role), home, file, directory.resolve(role + ".log"));
    }

    private StartupCost measureStartup(FleetProcess process, String address, String path, boolean mustBeReady)
            throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        process.start();
        while (true) {
            int status = probeStatus(address, path);
            if (mustBeReady ? status == 200 : status != 0) {
                double cpuSeconds = ProcessStatistics.cpuNanos(process.pid()) / 1e9;
                return new StartupCost(cpuSeconds, (System.nanoTime() - startNanos) / 1e9);
            }
            if (!process.isAlive() || System.nanoTime() - startNanos > START_TIMEOUT_NANOS) {
                throw new IOException("a process did not become ready; its log is in " + directory);
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private int probeStatus(String address, String path) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(PROBE_TIMEOUT)
                .build();
        try {
            return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException noResponse) {
            return 0;
        }
    }

    /** Kills all processes, because none of their state is needed any more. */
    @Override
    public void close() throws InterruptedException {
        if (router != null) {
            router.killPermanently();
        }
        for (FleetProcess controller : controllers) {
            controller.killPermanently();
        }
    }
}
