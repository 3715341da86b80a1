package burlarch.emulator.demo;

import burlarch.emulator.server.ControllerClient;
import java.io.IOException;
import java.io.PrintStream;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/**
 * Demo of the fleet: starts all processes, runs traffic with faults and changes, and reports. It stops each process
 * that it started by process id, also if it is interrupted. Runs on the main thread; an engine is replaced
 * on another one.
 */
final class FleetDemo {
    private static final int CONTROLLER_COUNT = 3;
    private static final int ROUTER_COUNT = 2;
    private static final int ENGINE_COUNT = 3;
    private static final int KILLED_CONTROLLER_INDEX = 1;
    private static final long START_TIMEOUT_MILLIS = 30_000;
    private static final long POLL_INTERVAL_MILLIS = 100;
    private static final long INITIAL_VERSION = 1;
    private static final long TRAFFIC_SEED = 1;

    private final Main.DemoOptions options;
    private final PrintStream output;
    private final List<FleetProcess> controllers = new ArrayList<>();
    private final List<FleetProcess> routers = new ArrayList<>();
    private final RequestLog log = new RequestLog();
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final DemoReport report = new DemoReport();
    private long demoStartNanos;

    FleetDemo(Main.DemoOptions options, PrintStream output) {
        this.options = options;
        this.output = output;
    }

    /** Runs the demo and prints the report; returns whether all requirements are met. */
    boolean run() throws Exception {
        Path jar = options.jar().toAbsolutePath();
        if (!Files.isRegularFile(jar)) {
            throw new IOException(jar + " is not there: run 'mvn -q -DskipTests package' first");
        }
        Path directory = Files.createTempDirectory("burlarch-demo");
        Path logs = options.logs() == null ? directory : Files.createDirectories(options.logs());
        Thread shutdownHook = new Thread(() -> killAndCleanUp(directory), "end-of-demo");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try (LoopbackNetwork network = LoopbackNetwork.reserve()) {
            startProcesses(network, jar, directory, logs.toAbsolutePath());
            runScenario(network);
        } finally {
            stopAll();
            cleanUp(shutdownHook, directory);
        }
        output.println(report.table());
        return report.passes();
    }

    private static void cleanUp(Thread shutdownHook, Path directory) throws IOException {
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            TemporaryDirectory.delete(directory);
        } catch (IllegalStateException interrupted) {
            // The process is already shutting down, and the shutdown hook deletes the directory.
        }
    }

    private void startProcesses(LoopbackNetwork network, Path jar, Path directory, Path logs) throws IOException {
        List<String> seeds = controlAddresses(network);
        for (int i = 1; i <= CONTROLLER_COUNT; i++) {
            String name = "controller-" + i;
            Path file = NodeSettingsFile.controller(directory, name, network.controller(i), seeds, true);
            controllers.add(new FleetProcess("controller", jar, file, logs.resolve(name + ".log")));
        }
        for (int i = 1; i <= ROUTER_COUNT; i++) {
            String name = "router-" + i;
            Path file = NodeSettingsFile.router(directory, name, network.router(i), seeds);
            routers.add(new FleetProcess("router", jar, file, logs.resolve(name + ".log")));
        }
        demoStartNanos = System.nanoTime();
        print(CONTROLLER_COUNT + " controllers and " + ROUTER_COUNT + " routers start");
        for (FleetProcess process : allProcesses()) {
            process.start();
        }
    }

    private static List<String> controlAddresses(LoopbackNetwork network) {
        List<String> addresses = new ArrayList<>();
        for (int i = 1; i <= CONTROLLER_COUNT; i++) {
            addresses.add(network.controller(i) + ":" + LoopbackNetwork.CONTROL_PORT);
        }
        return addresses;
    }

    private void runScenario(LoopbackNetwork network) throws Exception {
        List<String> addresses = controlAddresses(network);
        RouterProbe routerProbe = new RouterProbe(http, List.of(network.router(1), network.router(2)));
        DemoOperator operator = new DemoOperator(new ControllerClient(http, addresses, 0));
        try (DemoInstances instances = new DemoInstances(network, log, http, addresses)) {
            String storeAddress = instances.startStore();
            report.step(
                    "first configuration acknowledged", operator.createConfiguration(INITIAL_VERSION, storeAddress));
            for (int i = 0; i < ENGINE_COUNT; i++) {
                instances.startEngine(INITIAL_VERSION);
            }
            instances.startPlainInstance(DemoConfiguration.SHOP);
            instances.startPlainInstance(DemoConfiguration.SHOP_NEW);
            awaitReady(routerProbe);
            runTraffic(operator, routerProbe, instances);
        }
    }

    private void awaitReady(RouterProbe routerProbe) throws InterruptedException, IOException {
        long deadlineNanos = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000;
        while (!routerProbe.allReady()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IOException("the routers are not ready after " + START_TIMEOUT_MILLIS / 1000 + " s");
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        print("routers are ready");
    }

    private void runTraffic(DemoOperator operator, RouterProbe routerProbe, DemoInstances instances) throws Exception {
        long trafficStartNanos = System.nanoTime();
        try (OpenLoopTraffic traffic = new OpenLoopTraffic(new DemoClient(http, routerProbe, log), TRAFFIC_SEED)) {
            traffic.start();
            print("traffic starts");
            injectFaults(operator, instances, trafficStartNanos);
            sleepUntil(trafficStartNanos, options.seconds());
            traffic.finish();
        }
        Thread.sleep(NodeSettingsFile.CONFIGURATION_APPLY_MILLIS);
        fillReport(operator, routerProbe, instances);
    }

    private void injectFaults(DemoOperator operator, DemoInstances instances, long trafficStartNanos) throws Exception {
        sleepUntil(trafficStartNanos, 2);
        report.step("change acknowledged", operator.changeConfiguration(4, DemoConfiguration.SHOP_NEW));
        print("configuration 4 is acknowledged: reads go to another service");
        sleepUntil(trafficStartNanos, 3.5);
        print("an engine drains, another takes its place");
        CompletableFuture<Boolean> drainAcknowledged = CompletableFuture.supplyAsync(() -> replaceEngine(instances));
        sleepUntil(trafficStartNanos, 5);
        controllers.get(KILLED_CONTROLLER_INDEX).kill();
        print("controller 2 is killed");
        sleepUntil(trafficStartNanos, 6);
        report.step(
                "change with a controller down acknowledged", operator.changeConfiguration(9, DemoConfiguration.SHOP));
        print("configuration 9 is acknowledged by the other two");
        sleepUntil(trafficStartNanos, 7);
        controllers.get(KILLED_CONTROLLER_INDEX).start();
        print("controller 2 starts again");
        report.step("drain acknowledged", drainAcknowledged.get());
        sleepUntil(trafficStartNanos, 8);
        report.step("new weights acknowledged", operator.announceWeights(2));
        print("weights 2 are announced");
        sleepUntil(trafficStartNanos, 12);
        report.step("last change acknowledged", operator.changeConfiguration(12, DemoConfiguration.SHOP_NEW));
        print("configuration 12 is acknowledged");
    }

    private static boolean replaceEngine(DemoInstances instances) {
        try {
            return instances.replaceEngine(INITIAL_VERSION);
        } catch (IOException | InterruptedException e) {
            return false;
        }
    }

    private static void sleepUntil(long trafficStartNanos, double seconds) throws InterruptedException {
        long remainingNanos = trafficStartNanos + (long) (seconds * 1e9) - System.nanoTime();
        if (remainingNanos > 0) {
            Thread.sleep(remainingNanos / 1_000_000, (int) (remainingNanos % 1_000_000));
        }
    }

    private void fillReport(DemoOperator operator, RouterProbe routerProbe, DemoInstances instances)
            throws InterruptedException, ExecutionException {
        report.step("newest configuration read back", operator.readReturnsNewestVersion());
        report.requests(log.requestCount(), log.servedCount(), log.lateCount(), log.failedCount());
        report.requireZero("requests that were executed twice", log.duplicateExecutions());
        report.requireZero("requests executed though reported otherwise", log.executedAfterReport());
        report.requireZero("requests to a drained instance", log.requestsAfterDrain());
        report.versions("configuration", routerProbe.versions(operator.versions()), operator.newestVersion());
        report.versions("weights", instances.weightsVersions(), 2);
        report.requireZero("processes that ended unexpectedly", (int)
                allProcesses().stream().filter(process -> !process.isAlive()).count());
    }

    private void print(String event) {
        output.printf(Locale.ROOT, "%6.1f s  %s%n", (System.nanoTime() - demoStartNanos) / 1e9, event);
    }

    private List<FleetProcess> allProcesses() {
        List<FleetProcess> processes = new ArrayList<>(controllers);
        processes.addAll(routers);
        return processes;
    }

    private void stopAll() throws InterruptedException {
        allProcesses().forEach(FleetProcess::terminate);
        for (FleetProcess process : allProcesses()) {
            process.stop();
        }
    }

    /** Kills all processes and deletes the directory, if the demo is interrupted. */
    private void killAndCleanUp(Path directory) {
        try {
            for (FleetProcess process : allProcesses()) {
                process.killPermanently();
            }
            TemporaryDirectory.delete(directory);
        } catch (IOException | InterruptedException e) {
            output.println("burlarch: directory not deleted: " + directory);
        }
    }
}
