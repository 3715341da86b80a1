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

/** Bench of the fleet: cost of startup, idle load, age of events with and without the router, many open streams. */
final class FleetBench {
    private static final double MAX_STARTUP_CPU_SECONDS = 1.5;
    private static final double MAX_IDLE_CORE_PERCENT = 2;
    private static final double MAX_ADDED_P50_MILLIS = 1;
    private static final double MAX_ADDED_P99_MILLIS = 5;
    private static final double MAX_PEAK_MEGABYTES = 200;
    private static final int OPEN_STREAMS = 300;
    private static final int SLOTS = 600;
    private static final long EVENT_INTERVAL_NANOS = 30_000_000;
    private static final long MIN_EVENT_INTERVAL_NANOS = 5_000_000;
    private static final long WARM_UP_MILLIS = 2_500;
    private static final long SETTLE_MILLIS = 2_000;
    private static final long OPEN_STREAMS_MILLIS = 4_000;
    private static final int CALIBRATION_ROUNDS = 2;
    private static final double TARGET_CORE_SHARE = 0.5;
    private static final int DEADLINE_MILLIS = 60_000;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);

    private final Path home;
    private final long measureMillis;
    private final PrintStream output;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private final BenchReport report = new BenchReport();
    private BenchFleet fleet;
    private InstanceIdentity engineIdentity;

    /**
     * Result of one load.
     *
     * @param ages ages of the events on arrival, in nanoseconds
     * @param routerShare fraction of a core that the router used
     * @param started streams of which an event arrived
     * @param completed streams that ended with status 200
     */
    private record LoadResult(Histogram ages, double routerShare, int started, int completed) {
        double rate(long millis) {
            return ages.getTotalCount() * 1e3 / millis;
        }
    }

    /** @param home directory with deploy/system.toml and target/burlarch.jar */
    FleetBench(Path home, int seconds, PrintStream output) {
        this.home = home;
        this.measureMillis = seconds * 1_000L;
        this.output = output;
    }

    /** Runs all measurements and prints the report; returns whether all values are within their bounds. */
    boolean run() throws Exception {
        if (!Files.isRegularFile(home.resolve("target").resolve("burlarch.jar"))) {
            throw new IOException(
                    home + "/target/burlarch.jar is not there: run " + "'mvn -q -DskipTests package' first");
        }
        Path directory = Files.createTempDirectory("burlarch-bench");
        try (LoopbackNetwork network = LoopbackNetwork.reserve();
                BenchFleet processes = new BenchFleet(network, home, directory, http)) {
            Thread shutdownHook = new Thread(this::killProcesses, "end-of-bench");
            fleet = processes;
            Runtime.getRuntime().addShutdownHook(shutdownHook);
            engineIdentity = new InstanceIdentity(
                    "i-bench",
                    DemoConfiguration.ENGINES,
                    network.instance(1),
                    LoopbackNetwork.INSTANCE_PORT,
                    "hall",
                    SLOTS);
            measureAll();
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        }
        TemporaryDirectory.delete(directory);
        output.println(report.format());
        return report.passes();
    }

    private void killProcesses() {
        try {
            fleet.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void measureAll() throws Exception {
        boolean archive = Files.isRegularFile(home.resolve("target").resolve("burlarch.jsa"));
        output.println("load average " + ProcessStatistics.loadAverages() + ", "
                + Runtime.getRuntime().availableProcessors() + " cores, archive of classes: "
                + (archive ? "yes" : "no"));
        BenchFleet.StartupCost controller = fleet.startControllers();
        ControllerClient controllerClient = new ControllerClient(http, fleet.seeds(), 0);
        String configuration = DemoConfiguration.bench(SLOTS);
        if (!controllerClient
                .call("PUT", "/burlarch/config", configuration, "0", CALL_TIMEOUT)
                .ok()) {
            throw new IOException("no controller acknowledged the configuration");
        }
        try (TimestampingEngineServer engineServer = new TimestampingEngineServer(
                engineIdentity, new NoExecutionListener(), DemoConfiguration.MODEL, EVENT_INTERVAL_NANOS)) {
            engineServer.start();
            engineServer.register(
                    new ControllerClient(http, fleet.seeds(), 1), NodeSettingsFile.HEARTBEAT_INTERVAL_MILLIS);
            BenchFleet.StartupCost router = fleet.startRouter();
            reportStartup("controller", controller);
            reportStartup("router", router);
            Thread.sleep(SETTLE_MILLIS);
            measureIdle();
            measureEventAges(engineServer);
            measureOpenStreams();
        }
        output.println("load average " + ProcessStatistics.loadAverages());
    }

    private void reportStartup(String role, BenchFleet.StartupCost start) {
        report.goal(role + ": CPU from start to ready", start.cpuSeconds(), "s", MAX_STARTUP_CPU_SECONDS)
                .value(role + ": time from start to ready", start.wallSeconds(), "s");
    }

    private void measureIdle() throws IOException, InterruptedException {
        long routerBefore = ProcessStatistics.cpuNanos(fleet.routerPid());
        long[] before = new long[fleet.controllerCount()];
        for (int i = 0; i < before.length; i++) {
            before[i] = ProcessStatistics.cpuNanos(fleet.controllerPid(i));
        }
        Thread.sleep(measureMillis);
        long maxNanos = 0;
        for (int i = 0; i < before.length; i++) {
            maxNanos = Math.max(maxNanos, ProcessStatistics.cpuNanos(fleet.controllerPid(i)) - before[i]);
        }
        long router = ProcessStatistics.cpuNanos(fleet.routerPid()) - routerBefore;
        double percent = 100 / (measureMillis * 1e6);
        report.goal("idle: busiest controller", maxNanos * percent, "% of core", MAX_IDLE_CORE_PERCENT)
                .goal("idle: router", router * percent, "% of core", MAX_IDLE_CORE_PERCENT);
    }

    private void measureEventAges(TimestampingEngineServer engineServer) throws IOException, InterruptedException {
        int streams = OPEN_STREAMS;
        long intervalNanos = calibrateEventInterval(engineServer);
        LoadResult direct = runLoad(engineIdentity.address(), streams, intervalNanos, measureMillis);
        LoadResult routed = runLoad(fleet.frontAddress(), streams, intervalNanos, measureMillis);
        engineServer.setEventInterval(EVENT_INTERVAL_NANOS);
        report.value("streams at once", streams, "")
                .value("time between events of a stream", intervalNanos / 1e6, "ms")
                .value("events per second, direct", direct.rate(measureMillis), "")
                .value("events per second, through the router", routed.rate(measureMillis), "")
                .value("router under this load", 100 * routed.routerShare(), "% of core");
        reportQuantile("p50", 50, direct, routed, MAX_ADDED_P50_MILLIS);
        reportQuantile("p99", 99, direct, routed, MAX_ADDED_P99_MILLIS);
        report.goal("streams that did not complete", 2 * streams - direct.completed() - routed.completed(), "", 1);
    }

    /** Adjusts the interval between events until the router uses about half a core. */
    private long calibrateEventInterval(TimestampingEngineServer engineServer)
            throws IOException, InterruptedException {
        long intervalNanos = EVENT_INTERVAL_NANOS;
        for (int i = 0; i < CALIBRATION_ROUNDS; i++) {
            double share = runLoad(fleet.frontAddress(), OPEN_STREAMS, intervalNanos, SETTLE_MILLIS)
                    .routerShare();
            intervalNanos = Math.max(MIN_EVENT_INTERVAL_NANOS, Math.round(intervalNanos * share / TARGET_CORE_SHARE));
            engineServer.setEventInterval(intervalNanos);
        }
        return intervalNanos;
    }

    private void reportQuantile(
            String name, double percentile, LoadResult direct, LoadResult routed, double maxAddedMillis) {
        double directMillis = direct.ages().getValueAtPercentile(percentile) / 1e6;
        double routedMillis = routed.ages().getValueAtPercentile(percentile) / 1e6;
        report.value("event age " + name + ", direct", directMillis, "ms")
                .value("event age " + name + ", through the router", routedMillis, "ms")
                .goal("event age " + name + ", added", routedMillis - directMillis, "ms", maxAddedMillis);
    }

    private void measureOpenStreams() throws IOException, InterruptedException {
        LoadResult open = runLoad(fleet.frontAddress(), OPEN_STREAMS, EVENT_INTERVAL_NANOS, OPEN_STREAMS_MILLIS);
        report.goal("of 300 open streams, not started", OPEN_STREAMS - open.started(), "", 1)
                .goal(
                        "router: peak memory, 300 streams open",
                        ProcessStatistics.peakMegabytes(fleet.routerPid()),
                        "MB",
                        MAX_PEAK_MEGABYTES);
    }

    private LoadResult runLoad(String address, int streams, long intervalNanos, long millis)
            throws IOException, InterruptedException {
        TimestampedStreamClients clients =
                new TimestampedStreamClients(http, address, "X-Credential", DemoConfiguration.KEYS[0]);
        long opening = 2L * streams;
        clients.open(streams, (int) ((opening + WARM_UP_MILLIS + millis) * 1_000_000 / intervalNanos), DEADLINE_MILLIS);
        Thread.sleep(WARM_UP_MILLIS / 2);
        long cpuNanosBefore = ProcessStatistics.cpuNanos(fleet.routerPid());
        long startNanos = System.nanoTime();
        Histogram ages = clients.recordAges(millis);
        double share = (double) (ProcessStatistics.cpuNanos(fleet.routerPid()) - cpuNanosBefore)
                / (System.nanoTime() - startNanos);
        int started = clients.started();
        return new LoadResult(ages, share, started, clients.finish());
    }

    /** Ignores executions, which the bench does not check. */
    private static final class NoExecutionListener implements ExecutionListener {
        @Override
        public void onExecuted(String requestId, String instance) {
            // Not checked by the bench.
        }

        @Override
        public void onRequestAfterDrain(String requestId, String instance) {
            // Not checked by the bench.
        }
    }
}
