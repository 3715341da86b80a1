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
 * The script of the demo. It stops each process that it started by its process id, also when it is interrupted.
 * Runs on the main thread; the replacement of an engine on another.
 */
final class FleetDemo {
    private static final int CONTROLLERS = 3;
    private static final int ROUTERS = 2;
    private static final int ENGINES = 3;
    private static final int KILLED = 1;
    private static final long START_MILLIS = 30_000;
    private static final long POLL_MILLIS = 100;
    private static final long FIRST = 1;
    private static final long SEED = 1;

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
    private long began;

    FleetDemo(Main.DemoOptions options, PrintStream output) {
        this.options = options;
        this.output = output;
    }

    /** Runs the demo; returns whether all requirements are met. */
    boolean run() throws Exception {
        Path jar = options.jar().toAbsolutePath();
        if (!Files.isRegularFile(jar)) {
            throw new IOException(jar + " is not there: run 'mvn -q -DskipTests package' first");
        }
        Path folder = Files.createTempDirectory("burlarch-demo");
        Path logs = options.logs() == null ? folder : Files.createDirectories(options.logs());
        Thread atExit = new Thread(() -> abandon(folder), "end-of-demo");
        Runtime.getRuntime().addShutdownHook(atExit);
        try (LoopbackNetwork network = LoopbackNetwork.reserve()) {
            prepare(network, jar, folder, logs.toAbsolutePath());
            play(network);
        } finally {
            endAll();
            leave(atExit, folder);
        }
        output.println(report.table());
        return report.passes();
    }

    private static void leave(Thread atExit, Path folder) throws IOException {
        try {
            Runtime.getRuntime().removeShutdownHook(atExit);
            TemporaryDirectory.delete(folder);
        } catch (IllegalStateException interrupted) {
            // The process is ending already, and the shutdown hook deletes the directory.
        }
    }

    private void prepare(LoopbackNetwork network, Path jar, Path folder, Path logs) throws IOException {
        List<String> seeds = controlAddresses(network);
        for (int i = 1; i <= CONTROLLERS; i++) {
            String name = "controller-" + i;
            Path file = NodeSettingsFile.controller(folder, name, network.controller(i), seeds, true);
            controllers.add(new FleetProcess("controller", jar, file, logs.resolve(name + ".log")));
        }
        for (int i = 1; i <= ROUTERS; i++) {
            String name = "router-" + i;
            Path file = NodeSettingsFile.router(folder, name, network.router(i), seeds);
            routers.add(new FleetProcess("router", jar, file, logs.resolve(name + ".log")));
        }
        began = System.nanoTime();
        print(CONTROLLERS + " controllers and " + ROUTERS + " routers start");
        for (FleetProcess process : all()) {
            process.start();
        }
    }

    private static List<String> controlAddresses(LoopbackNetwork network) {
        List<String> addresses = new ArrayList<>();
        for (int i = 1; i <= CONTROLLERS; i++) {
            addresses.add(network.controller(i) + ":" + LoopbackNetwork.CONTROL);
        }
        return addresses;
    }

    private void play(LoopbackNetwork network) throws Exception {
        List<String> addresses = controlAddresses(network);
        RouterProbe routerProbe = new RouterProbe(http, List.of(network.router(1), network.router(2)));
        DemoOperator operator = new DemoOperator(new ControllerClient(http, addresses, 0));
        try (DemoInstances instances = new DemoInstances(network, log, http, addresses)) {
            String store = instances.store();
            report.step("first configuration acknowledged", operator.createConfiguration(FIRST, store));
            for (int i = 0; i < ENGINES; i++) {
                instances.engine(FIRST);
            }
            instances.plain(DemoConfiguration.SHOP);
            instances.plain(DemoConfiguration.SHOP_NEW);
            awaitReady(routerProbe);
            traffic(operator, routerProbe, instances);
        }
    }

    private void awaitReady(RouterProbe routerProbe) throws InterruptedException, IOException {
        long end = System.nanoTime() + START_MILLIS * 1_000_000;
        while (!routerProbe.allReady()) {
            if (System.nanoTime() - end > 0) {
                throw new IOException("the routers are not ready after " + START_MILLIS / 1000 + " s");
            }
            Thread.sleep(POLL_MILLIS);
        }
        print("routers are ready");
    }

    private void traffic(DemoOperator operator, RouterProbe routerProbe, DemoInstances instances) throws Exception {
        long start = System.nanoTime();
        try (OpenLoopTraffic traffic = new OpenLoopTraffic(new DemoClient(http, routerProbe, log), SEED)) {
            traffic.start();
            print("traffic starts");
            injectFaults(operator, instances, start);
            until(start, options.seconds());
            traffic.finish();
        }
        Thread.sleep(NodeSettingsFile.CONFIGURATION_MILLIS);
        report(operator, routerProbe, instances);
    }

    private void injectFaults(DemoOperator operator, DemoInstances instances, long start) throws Exception {
        until(start, 2);
        report.step("change acknowledged", operator.changeConfiguration(4, DemoConfiguration.SHOP_NEW));
        print("configuration 4 is acknowledged: reads go to another service");
        until(start, 3.5);
        print("an engine drains, another takes its place");
        CompletableFuture<Boolean> replaced = CompletableFuture.supplyAsync(() -> replace(instances));
        until(start, 5);
        controllers.get(KILLED).kill();
        print("controller 2 is killed");
        until(start, 6);
        report.step(
                "change with a controller down acknowledged", operator.changeConfiguration(9, DemoConfiguration.SHOP));
        print("configuration 9 is acknowledged by the other two");
        until(start, 7);
        controllers.get(KILLED).start();
        print("controller 2 starts again");
        report.step("drain acknowledged", replaced.get());
        until(start, 8);
        report.step("new weights acknowledged", operator.setWeightsVersion(2));
        print("weights 2 are named");
        until(start, 12);
        report.step("last change acknowledged", operator.changeConfiguration(12, DemoConfiguration.SHOP_NEW));
        print("configuration 12 is acknowledged");
    }

    private static boolean replace(DemoInstances instances) {
        try {
            return instances.replaceEngine(FIRST);
        } catch (IOException | InterruptedException e) {
            return false;
        }
    }

    private static void until(long start, double seconds) throws InterruptedException {
        long left = start + (long) (seconds * 1e9) - System.nanoTime();
        if (left > 0) {
            Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
        }
    }

    private void report(DemoOperator operator, RouterProbe routerProbe, DemoInstances instances)
            throws InterruptedException, ExecutionException {
        report.step("newest configuration read back", operator.readsBack());
        report.requests(log.requestCount(), log.servedCount(), log.lateCount(), log.failedCount());
        report.none("requests that ran twice", log.duplicateExecutions());
        report.none("requests that ran after a promise not to", log.executedAfterReport());
        report.none("requests to a drained instance", log.requestsAfterDrain());
        report.versions("configuration", routerProbe.versions(operator.versions()), operator.newest());
        report.versions("weights", instances.weights(), 2);
        report.none("processes that ended by themselves", (int)
                all().stream().filter(process -> !process.alive()).count());
    }

    private void print(String what) {
        output.printf(Locale.ROOT, "%6.1f s  %s%n", (System.nanoTime() - began) / 1e9, what);
    }

    private List<FleetProcess> all() {
        List<FleetProcess> all = new ArrayList<>(controllers);
        all.addAll(routers);
        return all;
    }

    private void endAll() throws InterruptedException {
        all().forEach(FleetProcess::terminate);
        for (FleetProcess process : all()) {
            process.end();
        }
    }

    /** The demo is interrupted: stops all processes and deletes the directory. */
    private void abandon(Path folder) {
        try {
            for (FleetProcess process : all()) {
                process.killForGood();
            }
            TemporaryDirectory.delete(folder);
        } catch (IOException | InterruptedException e) {
            output.println("burlarch: left behind: " + folder);
        }
    }
}
