package burlarch.emulator.demo;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The processes of a soak, started with the commands of the deployment. */
final class SoakFleet implements AutoCloseable {
    static final int CONTROLLERS = 3;
    private static final long CALM_SAMPLE_NANOS = 50_000_000;

    private final List<SoakProcess> controllers = new ArrayList<>();
    private final List<SoakProcess> routers = new ArrayList<>();

    /**
     * Creates the processes; none is started.
     *
     * @param home directory in which the commands of the deployment run
     * @param directory directory for settings and data
     * @param logs directory for logs
     */
    SoakFleet(LoopbackNetwork network, Path home, Path directory, Path logs, int routerCount) throws IOException {
        List<String> seeds = controlAddresses(network);
        List<String> controllerCommand = DeploymentCommand.of(home, "controller");
        List<String> routerCommand = DeploymentCommand.of(home, "router");
        for (int i = 1; i <= CONTROLLERS; i++) {
            String name = "controller-" + i;
            Path settings = NodeSettingsFile.controller(directory, name, network.controller(i), seeds, true);
            Path log = logs.resolve(name + ".log");
            controllers.add(new SoakProcess(name, new FleetProcess(controllerCommand, home, settings, log)));
        }
        for (int i = 1; i <= routerCount; i++) {
            String name = routerName(i);
            Path settings = NodeSettingsFile.router(directory, name, network.router(i), seeds);
            Path log = logs.resolve(name + ".log");
            routers.add(new SoakProcess(name, new FleetProcess(routerCommand, home, settings, log)));
        }
    }

    /** Returns the name of a router, counted from 1. */
    static String routerName(int number) {
        return "router-" + number;
    }

    static List<String> controlAddresses(LoopbackNetwork network) {
        List<String> addresses = new ArrayList<>();
        for (int i = 1; i <= CONTROLLERS; i++) {
            addresses.add(network.controller(i) + ":" + LoopbackNetwork.CONTROL_PORT);
        }
        return addresses;
    }

    List<SoakProcess> controllers() {
        return List.copyOf(controllers);
    }

    List<SoakProcess> routers() {
        return List.copyOf(routers);
    }

    List<SoakProcess> all() {
        List<SoakProcess> all = new ArrayList<>(controllers);
        all.addAll(routers);
        return all;
    }

    /** Returns the longest time within a period in which nothing disrupted any controller. */
    long longestCoreCalmNanos(long fromNanos, long toNanos) {
        long longestNanos = 0;
        long calmFromNanos = fromNanos;
        for (long atNanos = fromNanos; atNanos - toNanos < 0; atNanos += CALM_SAMPLE_NANOS) {
            if (isCoreDisrupted(atNanos)) {
                calmFromNanos = atNanos + CALM_SAMPLE_NANOS;
            }
            longestNanos = Math.max(longestNanos, atNanos - calmFromNanos);
        }
        return longestNanos;
    }

    private boolean isCoreDisrupted(long atNanos) {
        return controllers.stream().anyMatch(controller -> !controller.isUndisrupted(atNanos, atNanos));
    }

    void startAll() throws IOException {
        for (SoakProcess process : all()) {
            process.start();
        }
    }

    /** Kills all processes, and prevents further starts. */
    @Override
    public void close() {
        try {
            for (SoakProcess process : all()) {
                process.killPermanently();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
