package burlarch.emulator.demo;

import burlarch.emulator.server.ControllerClient;
import burlarch.emulator.server.ExecutionListener;
import burlarch.emulator.server.InstanceIdentity;
import burlarch.emulator.server.TimestampingEngineServer;
import java.io.IOException;
import java.io.PrintStream;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.HdrHistogram.Histogram;

/** The script of the bench: startup, idle load, age of events with and without the router, many open streams. */
final class FleetBench {
    private static final double START_CPU_SECONDS = 1.5;
    private static final double IDLE_PERCENT = 2;
    private static final double ADDED_P50_MILLIS = 1;
    private static final double ADDED_P99_MILLIS = 5;
    private static final double PEAK_MEGABYTES = 200;
    private static final int OPEN_STREAMS = 300;
    private static final int SLOTS = 600;
    private static final long GAP_NANOS = 30_000_000;
    private static final long LEAST_GAP_NANOS = 5_000_000;
    private static final long WARM_MILLIS = 2_500;
    private static final long SETTLE_MILLIS = 2_000;
    private static final long OPEN_MILLIS = 4_000;
    private static final int PROBES = 2;
    private static final double HALF_CORE = 0.5;
    private static final int DEADLINE_MILLIS = 60_000;
    private static final Duration LIMIT = Duration.ofSeconds(20);

    private final Path home;
    private final long measureMillis;
    private final PrintStream output;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private final BenchReport table = new BenchReport();
    private BenchFleet fleet;
    private InstanceIdentity engine;

    /** The result of one load: ages of its events, and the fraction of a core that the router used. */
    private record Load(Histogram ages, double routerShare, int begun, int well) {
        double rate(long millis) {
            return ages.getTotalCount() * 1e3 / millis;
        }
    }

    /** @param home the folder with deploy/system.toml and target/burlarch.jar */
    FleetBench(Path home, int seconds, PrintStream output) {
        this.home = home;
        this.measureMillis = seconds * 1_000L;
        this.output = output;
    }

    /** Runs all measurements; returns whether all values are within their bounds. */
    boolean run() throws Exception {
        if (!Files.isRegularFile(home.resolve("target").resolve("burlarch.jar"))) {
            throw new IOException(
                    home + "/target/burlarch.jar is not there: run " + "'mvn -q -DskipTests package' first");
        }
        Path folder = Files.createTempDirectory("burlarch-bench");
        try (LoopbackNetwork network = LoopbackNetwork.reserve();
                BenchFleet processes = new BenchFleet(network, home, folder, http)) {
            Thread atExit = new Thread(this::abandon, "end-of-bench");
            fleet = processes;
            Runtime.getRuntime().addShutdownHook(atExit);
            engine = new InstanceIdentity(
                    "i-bench", DemoConfiguration.ENGINES, network.instance(1), LoopbackNetwork.INSTANCE, "hall", SLOTS);
            play();
            Runtime.getRuntime().removeShutdownHook(atExit);
        }
        TemporaryDirectory.delete(folder);
        output.println(table.text());
        return table.passes();
    }

    private void abandon() {
        try {
            fleet.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void play() throws Exception {
        boolean archive = Files.isRegularFile(home.resolve("target").resolve("burlarch.jsa"));
        output.println("load average " + ProcessStatistics.load() + ", "
                + Runtime.getRuntime().availableProcessors() + " cores, archive of classes: "
                + (archive ? "yes" : "no"));
        BenchFleet.Start controller = fleet.startControllers();
        ControllerClient calls = new ControllerClient(http, fleet.seeds(), 0);
        String configuration = DemoConfiguration.bench(SLOTS);
        if (!calls.call("PUT", "/burlarch/config", configuration, "0", LIMIT).ok()) {
            throw new IOException("the configuration was not taken");
        }
        try (TimestampingEngineServer stamping =
                new TimestampingEngineServer(engine, new NoExecutionListener(), DemoConfiguration.MODEL, GAP_NANOS)) {
            stamping.start();
            stamping.register(new ControllerClient(http, fleet.seeds(), 1), NodeSettingsFile.HEARTBEAT_MILLIS);
            BenchFleet.Start router = fleet.startRouter();
            start("controller", controller);
            start("router", router);
            Thread.sleep(SETTLE_MILLIS);
            idle();
            events(stamping);
            manyStreams();
        }
        output.println("load average " + ProcessStatistics.load());
    }

    private void start(String who, BenchFleet.Start start) {
        table.goal(who + ": CPU from start to ready", start.cpuSeconds(), "s", START_CPU_SECONDS)
                .value(who + ": time from start to ready", start.wallSeconds(), "s");
    }

    private void idle() throws IOException, InterruptedException {
        long routerBefore = ProcessStatistics.cpuNanos(fleet.routerPid());
        long[] before = new long[fleet.controllers()];
        for (int i = 0; i < before.length; i++) {
            before[i] = ProcessStatistics.cpuNanos(fleet.controllerPid(i));
        }
        Thread.sleep(measureMillis);
        long most = 0;
        for (int i = 0; i < before.length; i++) {
            most = Math.max(most, ProcessStatistics.cpuNanos(fleet.controllerPid(i)) - before[i]);
        }
        long router = ProcessStatistics.cpuNanos(fleet.routerPid()) - routerBefore;
        double percent = 100 / (measureMillis * 1e6);
        table.goal("idle: busiest controller", most * percent, "% of core", IDLE_PERCENT)
                .goal("idle: router", router * percent, "% of core", IDLE_PERCENT);
    }

    private void events(TimestampingEngineServer stamping) throws IOException, InterruptedException {
        int streams = OPEN_STREAMS;
        long gap = gapForHalfACore(stamping);
        Load direct = load(engine.address(), streams, gap, measureMillis);
        Load routed = load(fleet.front(), streams, gap, measureMillis);
        stamping.setGap(GAP_NANOS);
        table.value("streams at once", streams, "")
                .value("time between events of a stream", gap / 1e6, "ms")
                .value("events a second, straight", direct.rate(measureMillis), "")
                .value("events a second, through the router", routed.rate(measureMillis), "")
                .value("router under these", 100 * routed.routerShare(), "% of core");
        quantile("p50", 50, direct, routed, ADDED_P50_MILLIS);
        quantile("p99", 99, direct, routed, ADDED_P99_MILLIS);
        table.goal("streams that did not end well", 2 * streams - direct.well() - routed.well(), "", 1);
    }

    /** Lets events come faster, or slower, until the router takes about half a core for them. */
    private long gapForHalfACore(TimestampingEngineServer stamping) throws IOException, InterruptedException {
        long gap = GAP_NANOS;
        for (int i = 0; i < PROBES; i++) {
            double share = load(fleet.front(), OPEN_STREAMS, gap, SETTLE_MILLIS).routerShare();
            gap = Math.max(LEAST_GAP_NANOS, Math.round(gap * share / HALF_CORE));
            stamping.setGap(gap);
        }
        return gap;
    }

    private void quantile(String name, double percentile, Load direct, Load routed, double below) {
        double straight = direct.ages().getValueAtPercentile(percentile) / 1e6;
        double through = routed.ages().getValueAtPercentile(percentile) / 1e6;
        table.value("event's age " + name + ", straight", straight, "ms")
                .value("event's age " + name + ", through the router", through, "ms")
                .goal("event's age " + name + ", added", through - straight, "ms", below);
    }

    private void manyStreams() throws IOException, InterruptedException {
        Load many = load(fleet.front(), OPEN_STREAMS, GAP_NANOS, OPEN_MILLIS);
        table.goal("of 300 open streams, not begun", OPEN_STREAMS - many.begun(), "", 1)
                .goal(
                        "router: peak memory, 300 streams open",
                        ProcessStatistics.peakMegabytes(fleet.routerPid()),
                        "MB",
                        PEAK_MEGABYTES);
    }

    private Load load(String address, int streams, long gap, long millis) throws IOException, InterruptedException {
        TimestampedStreamClients load =
                new TimestampedStreamClients(http, address, "X-Credential", DemoConfiguration.KEYS[0]);
        long opening = 2L * streams;
        load.open(streams, (int) ((opening + WARM_MILLIS + millis) * 1_000_000 / gap), DEADLINE_MILLIS);
        Thread.sleep(WARM_MILLIS / 2);
        long cpu = ProcessStatistics.cpuNanos(fleet.routerPid());
        long began = System.nanoTime();
        Histogram ages = load.count(millis);
        double share = (double) (ProcessStatistics.cpuNanos(fleet.routerPid()) - cpu) / (System.nanoTime() - began);
        int begun = load.begun();
        return new Load(ages, share, begun, load.finish());
    }

    /** Nobody asks what ran where. */
    private static final class NoExecutionListener implements ExecutionListener {
        @Override
        public void onExecuted(String requestId, String instance) {
            // Not judged here.
        }

        @Override
        public void onRequestAfterDrain(String requestId, String instance) {
            // Not judged here.
        }
    }
}
