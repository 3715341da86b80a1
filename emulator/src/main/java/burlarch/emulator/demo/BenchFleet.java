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

/** The processes of a bench: three controllers and a router, each started as the deployment does. */
final class BenchFleet implements AutoCloseable {
    private static final int CONTROLLERS = 3;
    private static final long START_NANOS = 30_000_000_000L;
    private static final long POLL_MILLIS = 5;
    /** The controller that is measured starts into a fleet that waits for it no more. */
    private static final long OTHERS_FIRST_MILLIS = 3_000;

    private static final Duration PROBE = Duration.ofMillis(500);

    private final LoopbackNetwork network;
    private final Path home;
    private final Path folder;
    private final HttpClient http;
    private final List<FleetProcess> controllers = new ArrayList<>();
    private FleetProcess router;

    /** What a start took. */
    record Start(double cpuSeconds, double wallSeconds) {}

    /** @param home the folder that the run lines are written for */
    BenchFleet(LoopbackNetwork network, Path home, Path folder, HttpClient http) {
        this.network = network;
        this.home = home;
        this.folder = folder;
        this.http = http;
    }

    List<String> seeds() {
        List<String> addresses = new ArrayList<>();
        for (int i = 1; i <= CONTROLLERS; i++) {
            addresses.add(network.controller(i) + ":" + LoopbackNetwork.CONTROL);
        }
        return addresses;
    }

    String front() {
        return network.router(1) + ":" + LoopbackNetwork.FRONT;
    }

    /** Starts the controllers; returns the time of the last one until its first response that needs a quorum. */
    Start startControllers() throws IOException, InterruptedException {
        for (int i = 1; i <= CONTROLLERS; i++) {
            Path file = NodeSettingsFile.controller(folder, "controller-" + i, network.controller(i), seeds(), true);
            controllers.add(process("controller", file));
        }
        for (FleetProcess process : controllers.subList(0, CONTROLLERS - 1)) {
            process.start();
        }
        Thread.sleep(OTHERS_FIRST_MILLIS);
        int last = CONTROLLERS - 1;
        return start(controllers.get(last), seeds().get(last), "/burlarch/config", false);
    }

    /** Starts the router; returns its time until it reports that it is ready. */
    Start startRouter() throws IOException, InterruptedException {
        router = process("router", NodeSettingsFile.router(folder, "router-1", network.router(1), seeds()));
        return start(router, network.router(1) + ":" + LoopbackNetwork.READINESS, "/burlarch/readyz", true);
    }

    long routerPid() {
        return router.pid();
    }

    long controllerPid(int index) {
        return controllers.get(index).pid();
    }

    int controllers() {
        return CONTROLLERS;
    }

    private FleetProcess process(String role, Path file) throws IOException {
        return new FleetProcess(DeploymentCommand.of(home, role), home, file, folder.resolve(role + ".log"));
    }

    private Start start(FleetProcess process, String address, String path, boolean ready)
            throws IOException, InterruptedException {
        long began = System.nanoTime();
        process.start();
        while (true) {
            int status = status(address, path);
            if (ready ? status == 200 : status != 0) {
                double cpu = ProcessStatistics.cpuNanos(process.pid()) / 1e9;
                return new Start(cpu, (System.nanoTime() - began) / 1e9);
            }
            if (!process.alive() || System.nanoTime() - began > START_NANOS) {
                throw new IOException("a process did not become ready; its log is in " + folder);
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    private int status(String address, String path) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(PROBE)
                .build();
        try {
            return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException noResponse) {
            return 0;
        }
    }

    /** Kills all processes: nothing of them is needed any more. */
    @Override
    public void close() throws InterruptedException {
        if (router != null) {
            router.killForGood();
        }
        for (FleetProcess controller : controllers) {
            controller.killForGood();
        }
    }
}
