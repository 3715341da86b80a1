package burlarch.emulator.demo;

import burlarch.emulator.server.ControlCalls;
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

/** The demo's script. What it starts it ends by its id, however it ends itself. */
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
    private final Ledger ledger = new Ledger();
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final Verdict verdict = new Verdict();
    private long began;

    FleetDemo(Main.DemoOptions options, PrintStream output) {
        this.options = options;
        this.output = output;
    }

    /** Plays the demo; returns whether the verdict is good. */
    boolean run() throws Exception {
        Path jar = options.jar().toAbsolutePath();
        if (!Files.isRegularFile(jar)) {
            throw new IOException(jar + " is not there: run 'mvn -q -DskipTests package' first");
        }
        Path folder = Files.createTempDirectory("burlarch-demo");
        Path logs = options.logs() == null ? folder : Files.createDirectories(options.logs());
        Thread atExit = new Thread(() -> abandon(folder), "end-of-demo");
        Runtime.getRuntime().addShutdownHook(atExit);
        try (LoopbackNetwork network = LoopbackNetwork.take()) {
            prepare(network, jar, folder, logs.toAbsolutePath());
            play(network);
        } finally {
            endAll();
            leave(atExit, folder);
        }
        output.println(verdict.table());
        return verdict.passes();
    }

    private static void leave(Thread atExit, Path folder) throws IOException {
        try {
            Runtime.getRuntime().removeShutdownHook(atExit);
            DemoFolder.delete(folder);
        } catch (IllegalStateException interrupted) {
            // The process is ending already, and the hook does the rest.
        }
    }

    private void prepare(LoopbackNetwork network, Path jar, Path folder, Path logs) throws IOException {
        List<String> seeds = controlAddresses(network);
        for (int i = 1; i <= CONTROLLERS; i++) {
            String name = "controller-" + i;
            Path file = NodeFile.controller(folder, name, network.controller(i), seeds, true);
            controllers.add(new FleetProcess("controller", jar, file, logs.resolve(name + ".log")));
        }
        for (int i = 1; i <= ROUTERS; i++) {
            String name = "router-" + i;
            Path file = NodeFile.router(folder, name, network.router(i), seeds);
            routers.add(new FleetProcess("router", jar, file, logs.resolve(name + ".log")));
        }
        began = System.nanoTime();
        tell(CONTROLLERS + " controllers and " + ROUTERS + " routers start");
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
        RouterList routerList = new RouterList(http, List.of(network.router(1), network.router(2)));
        DemoOperator operator = new DemoOperator(new ControlCalls(http, addresses, 0));
        try (StandIns standIns = new StandIns(network, ledger, http, addresses)) {
            String store = standIns.store();
            verdict.step("first configuration acknowledged", operator.found(FIRST, store));
            for (int i = 0; i < ENGINES; i++) {
                standIns.engine(FIRST);
            }
            standIns.plain(DemoConfiguration.SHOP);
            standIns.plain(DemoConfiguration.SHOP_NEW);
            awaitReady(routerList);
            traffic(operator, routerList, standIns);
        }
    }

    private void awaitReady(RouterList routerList) throws InterruptedException, IOException {
        long end = System.nanoTime() + START_MILLIS * 1_000_000;
        while (!routerList.allReady()) {
            if (System.nanoTime() - end > 0) {
                throw new IOException("the routers are not ready after " + START_MILLIS / 1000 + " s");
            }
            Thread.sleep(POLL_MILLIS);
        }
        tell("routers are ready");
    }

    private void traffic(DemoOperator operator, RouterList routerList, StandIns standIns) throws Exception {
        long start = System.nanoTime();
        try (Traffic traffic = new Traffic(new Tries(http, routerList, ledger), SEED)) {
            traffic.start();
            tell("traffic starts");
            troubles(operator, standIns, start);
            until(start, options.seconds());
            traffic.finish();
        }
        Thread.sleep(NodeFile.CONFIGURATION_MILLIS);
        judge(operator, routerList, standIns);
    }

    private void troubles(DemoOperator operator, StandIns standIns, long start) throws Exception {
        until(start, 2);
        verdict.step("change acknowledged", operator.change(4, DemoConfiguration.SHOP_NEW));
        tell("configuration 4 is acknowledged: reads go to another service");
        until(start, 3.5);
        tell("an engine drains, another takes its place");
        CompletableFuture<Boolean> replaced = CompletableFuture.supplyAsync(() -> replace(standIns));
        until(start, 5);
        controllers.get(KILLED).kill();
        tell("controller 2 is killed");
        until(start, 6);
        verdict.step("change with a controller down acknowledged", operator.change(9, DemoConfiguration.SHOP));
        tell("configuration 9 is acknowledged by the other two");
        until(start, 7);
        controllers.get(KILLED).start();
        tell("controller 2 starts again");
        verdict.step("drain acknowledged", replaced.get());
        until(start, 8);
        verdict.step("new weights acknowledged", operator.nameWeights(2));
        tell("weights 2 are named");
        until(start, 12);
        verdict.step("last change acknowledged", operator.change(12, DemoConfiguration.SHOP_NEW));
        tell("configuration 12 is acknowledged");
    }

    private static boolean replace(StandIns standIns) {
        try {
            return standIns.replaceEngine(FIRST);
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

    private void judge(DemoOperator operator, RouterList routerList, StandIns standIns)
            throws InterruptedException, ExecutionException {
        verdict.step("newest configuration read back", operator.readsBack());
        verdict.requests(ledger.askedSoFar(), ledger.servedSoFar(), ledger.lateSoFar(), ledger.failedSoFar());
        verdict.none("requests that ran twice", ledger.doubleRuns());
        verdict.none("requests that ran after a promise not to", ledger.brokenPromises());
        verdict.none("requests to a drained instance", ledger.toDrained());
        verdict.versions("configuration", routerList.versions(operator.versions()), operator.newest());
        verdict.versions("weights", standIns.weights(), 2);
        verdict.none("processes that ended by themselves", (int)
                all().stream().filter(process -> !process.alive()).count());
    }

    private void tell(String what) {
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

    /** The demo is interrupted: nothing of it stays. */
    private void abandon(Path folder) {
        try {
            for (FleetProcess process : all()) {
                process.killForGood();
            }
            DemoFolder.delete(folder);
        } catch (IOException | InterruptedException e) {
            output.println("burlarch: left behind: " + folder);
        }
    }
}
