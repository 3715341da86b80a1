package burlarch.emulator.demo;

import burlarch.emulator.server.ControllerClient;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A soak: real processes under a seeded plan of signals, restarts and changes, with clients that use their connections
 * until the processes are gone. It ends each process that it started, also if it is interrupted.
 */
final class Soak {
    private static final int CLIENTS_PER_ROUTER = 10;
    private static final int ENGINES = 3;
    private static final int PLAIN_INSTANCES = 3;
    /** Time after the last step in which the fleet has to recover: {@code version_ms} and a restart. */
    private static final long CALM_MILLIS = NodeSettingsFile.WEIGHTS_APPLY_MILLIS + 4_000;

    private static final long START_TIMEOUT_MILLIS = 60_000;
    private static final long POLL_INTERVAL_MILLIS = 100;
    /** Memory of one process at most: the deployment's heap and what the virtual machine needs beside it. */
    private static final long BYTES_PER_PROCESS = 256L << 20;
    /** Of the requests at the end, one of so many must be served. */
    private static final int REQUESTS_PER_SERVED = 4;

    private final Main.SoakOptions options;
    private final PrintStream output;
    private final SoakObservations observations = new SoakObservations();
    private final SoakViolations violations = new SoakViolations();
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();

    Soak(Main.SoakOptions options, PrintStream output) {
        this.options = options;
        this.output = output;
    }

    /**
     * Runs the soak and prints a summary; returns whether no rule was violated.
     *
     * @throws IOException if it cannot run: no build, no free addresses, too little memory
     */
    boolean run() throws Exception {
        checkMemory();
        Path home = options.home().toAbsolutePath();
        Path jar = home.resolve("target").resolve("burlarch.jar");
        if (!Files.isRegularFile(jar)) {
            throw new IOException(jar + " is not there: run 'mvn -q -DskipTests package' first");
        }
        Path directory = Files.createTempDirectory("burlarch-soak");
        Path logs = options.logs() == null ? directory : Files.createDirectories(options.logs());
        try (LoopbackNetwork network = LoopbackNetwork.reserve()) {
            SoakFleet fleet = new SoakFleet(network, home, directory, logs.toAbsolutePath(), options.routers());
            Thread shutdownHook = new Thread(() -> endInterrupted(fleet, directory), "end-of-soak");
            Runtime.getRuntime().addShutdownHook(shutdownHook);
            try {
                runFleet(network, fleet);
            } finally {
                fleet.close();
                Runtime.getRuntime().removeShutdownHook(shutdownHook);
            }
        } finally {
            TemporaryDirectory.delete(directory);
        }
        return report();
    }

    private void endInterrupted(SoakFleet fleet, Path directory) {
        fleet.close();
        try {
            TemporaryDirectory.delete(directory);
        } catch (IOException notDeleted) {
            output.println("burlarch: directory not deleted: " + directory);
        }
    }

    private void checkMemory() throws IOException {
        long total = ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getTotalMemorySize();
        long needed = BYTES_PER_PROCESS * (options.routers() + SoakFleet.CONTROLLERS);
        if (needed > total / 2) {
            throw new IOException("too little memory: " + options.routers() + " routers may need " + (needed >> 20)
                    + " MB, half of the machine has " + (total / 2 >> 20) + " MB");
        }
    }

    private void runFleet(LoopbackNetwork network, SoakFleet fleet) throws Exception {
        List<String> addresses = SoakFleet.controlAddresses(network);
        DemoOperator operator = new DemoOperator(new ControllerClient(http, addresses, 0), SoakActions.CALL_TIMEOUT);
        List<String> routerIps = new ArrayList<>();
        for (int i = 1; i <= options.routers(); i++) {
            routerIps.add(network.router(i));
        }
        RouterProbe probe = new RouterProbe(http, routerIps);
        fleet.startAll();
        try (DemoInstances instances = new DemoInstances(network, observations, http, addresses);
                SoakActions actions = new SoakActions(fleet, instances, operator, http, addresses, violations)) {
            startInstances(instances, operator);
            awaitReady(probe);
            runTraffic(routerIps, actions);
            new SoakChecker(fleet, observations, violations).checkRequests();
            checkEnd(fleet, instances, operator, probe, actions.weightsVersion());
        }
    }

    private static void startInstances(DemoInstances instances, DemoOperator operator)
            throws IOException, InterruptedException {
        if (!operator.createConfiguration(SoakActions.INITIAL_VERSION, instances.startStore())) {
            throw new IOException("the first configuration was not acknowledged");
        }
        for (int i = 0; i < ENGINES; i++) {
            instances.startEngine(SoakActions.INITIAL_VERSION);
        }
        for (int i = 0; i < PLAIN_INSTANCES; i++) {
            instances.startPlainInstance(DemoConfiguration.SHOP);
        }
        instances.startPlainInstance(DemoConfiguration.SHOP_NEW);
    }

    private static void awaitReady(RouterProbe probe) throws InterruptedException, IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
        while (!probe.allReady()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IOException("the routers are not ready after " + START_TIMEOUT_MILLIS / 1000 + " s");
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private void runTraffic(List<String> routerIps, SoakActions actions) throws Exception {
        violations.onTrafficStarted();
        List<SoakClient> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        Random seeds = new Random(options.seed());
        for (int i = 0; i < CLIENTS_PER_ROUTER * routerIps.size(); i++) {
            SoakClient client = new SoakClient(routerIps, observations, seeds.nextLong());
            Thread thread = new Thread(client, "soak-client-" + i);
            thread.setDaemon(true);
            thread.start();
            clients.add(client);
            threads.add(thread);
        }
        actions.perform(plan());
        Thread.sleep(CALM_MILLIS);
        clients.forEach(SoakClient::stop);
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private List<SoakPlan.Step> plan() {
        long millis = TimeUnit.SECONDS.toMillis(options.seconds());
        return SoakPlan.draw(options.seed(), millis, options.routers(), SoakFleet.CONTROLLERS);
    }

    /** Checks what must hold after all faults: processes, configuration, weights, and that requests are served. */
    private void checkEnd(
            SoakFleet fleet, DemoInstances instances, DemoOperator operator, RouterProbe probe, long weightsVersion)
            throws InterruptedException {
        for (SoakProcess process : fleet.all()) {
            if (!process.isAlive()) {
                violations.add("FAULT", process.name(), "ended by itself");
            }
        }
        if (!operator.readReturnsNewestVersion()) {
            violations.add("CONFIG", "read", "does not return version " + operator.newestVersion());
        }
        probe.versions(operator.versions()).forEach((router, version) -> {
            if (version != operator.newestVersion()) {
                violations.add("CONFIG", router, "has version " + version);
            }
        });
        instances.weightsVersions().forEach((engine, version) -> {
            if (version != weightsVersion) {
                violations.add("VERSION", engine, "has weights " + version + " in place of " + weightsVersion);
            }
        });
        checkRecovery();
    }

    private void checkRecovery() {
        long calmFromNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(CALM_MILLIS / 2);
        List<SoakRequest> last = observations.requests().stream()
                .filter(request -> request.sentNanos() - calmFromNanos > 0)
                .toList();
        long served = last.stream()
                .filter(request -> request.status() == SoakRequest.OK)
                .count();
        if (served == 0 || served * REQUESTS_PER_SERVED < last.size()) {
            violations.add("RECOVER", "fleet", served + " of the last " + last.size() + " requests were served");
        }
    }

    private boolean report() throws IOException {
        SoakReport report =
                new SoakReport(options.seed(), options.routers(), plan(), observations.requests(), violations.list());
        if (options.record() != null) {
            report.write(options.record());
        }
        report.print(output);
        return report.violations().isEmpty();
    }
}
