package burlarch.emulator.demo;

import burlarch.emulator.server.ControlCalls;
import burlarch.emulator.server.InstanceInfo;
import burlarch.emulator.server.RunBook;
import burlarch.emulator.server.StampingEngine;
import java.io.IOException;
import java.io.PrintStream;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.HdrHistogram.Histogram;

/** The bench's script: start, idleness, age of events with and without the router, many open streams. */
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
    private final BenchTable table = new BenchTable();
    private BenchFleet fleet;
    private InstanceInfo engine;

    /** What one load showed: ages of its events, and the share of a core that the router took. */
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

    /** Runs it all; returns whether all goals are reached. */
    boolean run() throws Exception {
        if (!Files.isRegularFile(home.resolve("target").resolve("burlarch.jar"))) {
            throw new IOException(
                    home + "/target/burlarch.jar is not there: run " + "'mvn -q -DskipTests package' first");
        }
        Path folder = Files.createTempDirectory("burlarch-bench");
        try (LoopbackNetwork network = LoopbackNetwork.take();
                BenchFleet processes = new BenchFleet(network, home, folder, http)) {
            Thread atExit = new Thread(this::abandon, "end-of-bench");
            fleet = processes;
            Runtime.getRuntime().addShutdownHook(atExit);
            engine = new InstanceInfo(
                    "i-bench", DemoConfiguration.ENGINES, network.instance(1), LoopbackNetwork.INSTANCE, "hall", SLOTS);
            play();
            Runtime.getRuntime().removeShutdownHook(atExit);
        }
        DemoFolder.delete(folder);
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
        output.println("load average " + ProcessFigures.load() + ", "
                + Runtime.getRuntime().availableProcessors() + " cores, archive of classes: "
                + (archive ? "yes" : "no"));
        BenchFleet.Start controller = fleet.startControllers();
        ControlCalls calls = new ControlCalls(http, fleet.seeds(), 0);
        String configuration = DemoConfiguration.bench(SLOTS);
        if (!calls.call("PUT", "/burlarch/config", configuration, "0", LIMIT).ok()) {
            throw new IOException("the configuration was not taken");
        }
        try (StampingEngine stamping = new StampingEngine(engine, new NoBook(), DemoConfiguration.MODEL, GAP_NANOS)) {
            stamping.start();
            stamping.register(new ControlCalls(http, fleet.seeds(), 1), NodeFile.HEARTBEAT_MILLIS);
            BenchFleet.Start router = fleet.startRouter();
            start("controller", controller);
            start("router", router);
            Thread.sleep(SETTLE_MILLIS);
            idle();
            events(stamping);
            manyStreams();
        }
        output.println("load average " + ProcessFigures.load());
    }

    private void start(String who, BenchFleet.Start start) {
        table.goal(who + ": CPU from start to ready", start.cpuSeconds(), "s", START_CPU_SECONDS)
                .note(who + ": time from start to ready", start.wallSeconds(), "s");
    }

    private void idle() throws IOException, InterruptedException {
        long routerBefore = ProcessFigures.cpuNanos(fleet.routerPid());
        long[] before = new long[fleet.controllers()];
        for (int i = 0; i < before.length; i++) {
            before[i] = ProcessFigures.cpuNanos(fleet.controllerPid(i));
        }
        Thread.sleep(measureMillis);
        long most = 0;
        for (int i = 0; i < before.length; i++) {
            most = Math.max(most, ProcessFigures.cpuNanos(fleet.controllerPid(i)) - before[i]);
        }
        long router = ProcessFigures.cpuNanos(fleet.routerPid()) - routerBefore;
        double percent = 100 / (measureMillis * 1e6);
        table.goal("idle: busiest controller", most * percent, "% of core", IDLE_PERCENT)
                .goal("idle: router", router * percent, "% of core", IDLE_PERCENT);
    }

    private void events(StampingEngine stamping) throws IOException, InterruptedException {
        int streams = OPEN_STREAMS;
        long gap = gapForHalfACore(stamping);
        Load direct = load(engine.address(), streams, gap, measureMillis);
        Load routed = load(fleet.front(), streams, gap, measureMillis);
        stamping.setGap(GAP_NANOS);
        table.note("streams at once", streams, "")
                .note("time between events of a stream", gap / 1e6, "ms")
                .note("events a second, straight", direct.rate(measureMillis), "")
                .note("events a second, through the router", routed.rate(measureMillis), "")
                .note("router under these", 100 * routed.routerShare(), "% of core");
        quantile("p50", 50, direct, routed, ADDED_P50_MILLIS);
        quantile("p99", 99, direct, routed, ADDED_P99_MILLIS);
        table.goal("streams that did not end well", 2 * streams - direct.well() - routed.well(), "", 1);
    }

    /** Lets events come faster, or slower, until the router takes about half a core for them. */
    private long gapForHalfACore(StampingEngine stamping) throws IOException, InterruptedException {
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
        table.note("event's age " + name + ", straight", straight, "ms")
                .note("event's age " + name + ", through the router", through, "ms")
                .goal("event's age " + name + ", added", through - straight, "ms", below);
    }

    private void manyStreams() throws IOException, InterruptedException {
        Load many = load(fleet.front(), OPEN_STREAMS, GAP_NANOS, OPEN_MILLIS);
        table.goal("of 300 open streams, not begun", OPEN_STREAMS - many.begun(), "", 1)
                .goal(
                        "router: peak memory, 300 streams open",
                        ProcessFigures.peakMegabytes(fleet.routerPid()),
                        "MB",
                        PEAK_MEGABYTES);
    }

    private Load load(String address, int streams, long gap, long millis) throws IOException, InterruptedException {
        StampedStreams load = new StampedStreams(http, address, "X-Credential", DemoConfiguration.KEYS[0]);
        long opening = 2L * streams;
        load.open(streams, (int) ((opening + WARM_MILLIS + millis) * 1_000_000 / gap), DEADLINE_MILLIS);
        Thread.sleep(WARM_MILLIS / 2);
        long cpu = ProcessFigures.cpuNanos(fleet.routerPid());
        long began = System.nanoTime();
        Histogram ages = load.count(millis);
        double share = (double) (ProcessFigures.cpuNanos(fleet.routerPid()) - cpu) / (System.nanoTime() - began);
        int begun = load.begun();
        return new Load(ages, share, begun, load.finish());
    }

    /** Nobody asks what ran where. */
    private static final class NoBook implements RunBook {
        @Override
        public void ran(String requestId, String instance) {
            // Not judged here.
        }

        @Override
        public void cameAfterDrain(String requestId, String instance) {
            // Not judged here.
        }
    }
}
