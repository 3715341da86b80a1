package burlarch.lab.experiment;

import burlarch.audit.Attempt;
import burlarch.audit.Audit;
import burlarch.audit.FileSink;
import burlarch.audit.ProxyRun;
import burlarch.audit.RecordFile;
import burlarch.audit.Records;
import burlarch.audit.Rules;
import burlarch.audit.Verdict;
import burlarch.lab.load.LoadGenerator;
import burlarch.lab.load.LoadPlan;
import burlarch.lab.load.LoadResult;
import burlarch.standins.fleet.Fleet;
import burlarch.standins.fleet.FleetPlan;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs an experiment once: the fleet in this process, each proxy as a separate process, the load on its own
 * threads. Everything that it started is ended again, however the run ends.
 */
public final class Experiment {
    /** Time after the last possible response at which the run is stopped. */
    private static final long COMPLETION_TIMEOUT_S = 30;

    private static final long DRAIN_TIMEOUT_MS = 5000;
    /** Interval after the first request in which much of a proxy's CPU time still goes to JIT compilation. */
    private static final double EARLY_PHASE_S = 5;

    private final ExperimentPlan plan;
    private final Path folder;
    private final Path jar;
    private final Consumer<String> progress;
    private final List<ExperimentResult.TimelineEvent> timelineEvents = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, ProxyProcess> proxies = new LinkedHashMap<>();
    private final Map<String, InetSocketAddress> clientAddresses = new LinkedHashMap<>();
    /** Lifetimes of processes that were ended before the load was over. */
    private final List<ProxyRun> terminatedRuns = Collections.synchronizedList(new ArrayList<>());
    /** The plan's load, with the trusted CA once its certificate is generated. */
    private LoadPlan load;

    private volatile long loadStartNanos;
    /** Largest live heap among the proxies, in kB; 0 if not measured. */
    private volatile long liveHeapKb;
    /** Highest CPU time that any proxy had used when it became ready. */
    private long cpuToReadyNanos;
    /** Null if the CPU use of proxies is not limited. */
    private CpuLimiter cpuLimiter;

    private Experiment(ExperimentPlan plan, Path folder, Path jar, Consumer<String> progress) {
        this.plan = plan;
        this.load = plan.load();
        this.folder = folder;
        this.jar = jar;
        this.progress = progress;
    }

    /**
     * Runs the experiment.
     *
     * @param folder created if missing; receives raw records, logs, configurations, figures and the report
     * @param jar the jar of the proxy
     * @param progress receives progress lines
     * @throws IOException if the experiment could not be run; nothing is left running
     */
    public static ExperimentResult run(ExperimentPlan plan, Path folder, Path jar, Consumer<String> progress)
            throws IOException, InterruptedException {
        Files.createDirectories(folder);
        if (Files.exists(plan.file())) {
            Files.copy(plan.file(), folder.resolve("experiment.toml"), StandardCopyOption.REPLACE_EXISTING);
        }
        return new Experiment(plan, folder, jar, progress).run();
    }

    private ExperimentResult run() throws IOException, InterruptedException {
        Thread cleanUp = new Thread(() -> proxies.values().forEach(ProxyProcess::destroy), "burlarch-cleanup");
        Runtime.getRuntime().addShutdownHook(cleanUp);
        LoadGenerator.warmUp(plan.load());
        Path recordFile = folder.resolve("records.tsv");
        LoadResult result;
        Map<String, List<ResourceSampler.Sample>> usage;
        Map<String, Double> fleetFigures = new LinkedHashMap<>();
        try (FileSink sink = new FileSink(recordFile)) {
            try (Fleet fleet = Fleet.start(plan.fleet(), sink)) {
                fleet.onFault(text -> recordEvent(text));
                cpuLimiter = plan.proxies().cores() > 0
                        ? new CpuLimiter(plan.proxies().cores())
                        : null;
                startProxies(fleet);
                List<LoadGenerator.Target> targets = targets(fleet);
                try (LoadGenerator generator = LoadGenerator.start(load, targets, sink)) {
                    loadStartNanos = generator.startNanos();
                    fleet.runScript();
                    try (ResourceSampler samples = new ResourceSampler(List.copyOf(proxies.values()), loadStartNanos);
                            Timeline timeline = new Timeline()) {
                        timeline.start();
                        awaitCompletion(generator);
                        usage = samples.snapshot();
                    }
                    result = generator.result();
                    result.writeHistogramLog(folder.resolve("latency.hlog"));
                }
                stopProxies();
                fleetFigures.put("writes", (double) fleet.writes());
                fleetFigures.put(
                        "falls",
                        fleet.state().stream()
                                .mapToDouble(state -> ((Number) state.get("falls")).doubleValue())
                                .sum());
            } finally {
                if (cpuLimiter != null) {
                    cpuLimiter.close();
                }
                proxies.values().forEach(ProxyProcess::destroy);
            }
            terminatedRuns.forEach(sink::write);
        } finally {
            Runtime.getRuntime().removeShutdownHook(cleanUp);
        }
        return evaluate(RecordFile.read(List.of(recordFile)), result, usage, fleetFigures);
    }

    private void recordEvent(String text) {
        double timeS = loadStartNanos == 0 ? 0 : (System.nanoTime() - loadStartNanos) / 1e9;
        timelineEvents.add(new ExperimentResult.TimelineEvent(timeS, text));
        progress.accept(String.format(java.util.Locale.ROOT, "%6.1f s  %s", timeS, text));
    }

    private void startProxies(Fleet fleet) throws IOException, InterruptedException {
        if (plan.proxies().directToNode()) {
            return;
        }
        LabCertificate certificate = load.tls() ? LabCertificate.generate(folder) : null;
        if (certificate != null) {
            load = load.withTrustedCa(certificate.certificate());
        }
        String host = plan.fleet().host();
        long seed = plan.fleet().seed();
        for (FleetPlan.ProxyPlan proxyPlan : plan.fleet().proxyPlans()) {
            int port = ProxyProcess.freePort(host);
            Path configFile = folder.resolve(proxyPlan.name() + ".json");
            Files.writeString(
                    configFile,
                    ProxySettings.configurationJson(
                            plan,
                            proxyPlan.name(),
                            host + ":" + port,
                            fleet.discovery(proxyPlan.name()),
                            fleet.memberListJson(proxyPlan.name()),
                            ++seed));
            List<String> command = ProxyProcess.command(jar, plan.proxies());
            int clientPort = port;
            if (plan.load().batch() > 0 || certificate != null) {
                clientPort = ProxyProcess.freePort(host);
                Path settings = folder.resolve(proxyPlan.name() + ".toml");
                Files.writeString(settings, clientPortSettings(host, clientPort, certificate));
                command.addAll(List.of("--config", settings.toAbsolutePath().toString()));
            }
            InetAddress address = InetAddress.getByName(host);
            ProxyProcess proxy = new ProxyProcess(
                    proxyPlan.name(),
                    new InetSocketAddress(address, port),
                    jar,
                    command,
                    configFile,
                    folder.resolve(proxyPlan.name() + ".log"));
            clientAddresses.put(proxyPlan.name(), new InetSocketAddress(address, clientPort));
            proxies.put(proxyPlan.name(), proxy);
            start(proxy);
        }
        for (ProxyProcess proxy : proxies.values()) {
            proxy.awaitReady();
            cpuToReadyNanos = Math.max(cpuToReadyNanos, CpuLimiter.cpuNanos(proxy.pid()));
            progress.accept(String.format(
                    java.util.Locale.ROOT,
                    "         %s is ready after %.2f s, process %d",
                    proxy.name,
                    (System.nanoTime() - proxy.startedNanos()) / 1e9,
                    proxy.pid()));
        }
    }

    /**
     * Settings of the port that clients use instead of the plain one, in the format of the operator's settings
     * file.
     */
    private static String clientPortSettings(String host, int port, LabCertificate certificate) {
        String listen = "listen = \"" + (host.contains(":") ? "[" + host + "]" : host) + ":" + port + "\"\n";
        return certificate == null
                ? "[multiget]\n" + listen + "max_keys = 1024\n"
                : "[tls]\n" + listen + "cert_file = \""
                        + certificate.certificate().toAbsolutePath() + "\"\nkey_file = \""
                        + certificate.key().toAbsolutePath() + "\"\n";
    }

    private void start(ProxyProcess proxy) throws IOException {
        proxy.start();
        if (cpuLimiter != null) {
            cpuLimiter.limit(proxy.pid());
        }
    }

    /** Without proxies, clients send to the first node directly; the difference is the overhead of a proxy. */
    private List<LoadGenerator.Target> targets(Fleet fleet) {
        if (plan.proxies().directToNode()) {
            String proxyPlan = plan.fleet().proxyPlans().get(0).name();
            return List.of(new LoadGenerator.Target(
                    proxyPlan, fleet.node(plan.fleet().nodes().get(0).id(), proxyPlan)));
        }
        return proxies.values().stream()
                .map(proxy -> new LoadGenerator.Target(proxy.name, clientAddresses.get(proxy.name)))
                .toList();
    }

    private void awaitCompletion(LoadGenerator generator) throws InterruptedException {
        long longestMs = plan.fleet().classes().stream()
                .mapToLong(kind -> kind.deadlineNanos() / 1_000_000)
                .max()
                .orElse(0);
        double endS = plan.load().seconds() + 2 * longestMs / 1e3 + plan.load().graceMs() / 1e3 + COMPLETION_TIMEOUT_S;
        long endNanos = loadStartNanos + (long) (endS * 1e9);
        while (!generator.await(1, TimeUnit.SECONDS)) {
            progress.accept(String.format(
                    java.util.Locale.ROOT,
                    "%6.1f s  %s",
                    (System.nanoTime() - loadStartNanos) / 1e9,
                    generator.result().progressLine()));
            if (System.nanoTime() > endNanos) {
                generator.stop();
                if (!generator.await(longestMs + (long) plan.load().graceMs() + 1000, TimeUnit.MILLISECONDS)) {
                    return;
                }
            }
        }
    }

    private void stopProxies() throws IOException, InterruptedException {
        if (cpuLimiter != null) {
            // Shutdown is not part of the measured load, so it is not slowed by the CPU limit.
            cpuLimiter.close();
            cpuLimiter = null;
        }
        for (ProxyProcess proxy : proxies.values()) {
            proxy.signal("CONT");
            proxy.signal("TERM");
        }
        for (ProxyProcess proxy : proxies.values()) {
            if (!proxy.await(DRAIN_TIMEOUT_MS)) {
                recordEvent(proxy.name + " did not end within " + DRAIN_TIMEOUT_MS / 1000 + " s of SIGTERM");
            }
        }
    }

    /** Applies the faults of the proxies at their scheduled times. */
    private final class Timeline implements AutoCloseable {
        private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread daemon = new Thread(task, "burlarch-timeline");
            daemon.setDaemon(true);
            return daemon;
        });

        void start() {
            double heapAtS = plan.proxies().liveHeapAtS();
            if (heapAtS > 0) {
                thread.schedule(
                        this::measureLiveHeaps,
                        loadStartNanos + (long) (heapAtS * 1e9) - System.nanoTime(),
                        TimeUnit.NANOSECONDS);
            }
            for (ExperimentPlan.ProxyEvent event : plan.events()) {
                long atNanos = loadStartNanos + (long) (event.timeS() * 1e9) - System.nanoTime();
                thread.schedule(() -> apply(event), atNanos, TimeUnit.NANOSECONDS);
            }
        }

        private void measureLiveHeaps() {
            for (ProxyProcess proxy : proxies.values()) {
                try {
                    long kilobytes = LiveHeap.kilobytes(proxy.pid());
                    liveHeapKb = Math.max(liveHeapKb, kilobytes);
                    recordEvent("live heap of " + proxy.name + " " + kilobytes + " kB");
                } catch (IOException e) {
                    recordEvent("live heap of " + proxy.name + ": " + e.getMessage());
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }

        private void apply(ExperimentPlan.ProxyEvent event) {
            ProxyProcess proxy = proxies.get(event.proxy());
            if (proxy == null) {
                return;
            }
            try {
                switch (event.action()) {
                    case KILL -> terminate(proxy, "KILL");
                    case TERM -> proxy.signal("TERM");
                    case PAUSE -> proxy.signal("STOP");
                    case RESUME -> proxy.signal("CONT");
                    case START -> {
                        if (proxy.isAlive()) {
                            // It was sent SIGTERM and has not ended in the time allowed.
                            terminate(proxy, "KILL");
                        }
                        Experiment.this.start(proxy);
                    }
                }
                recordEvent(event.toString());
            } catch (IOException e) {
                recordEvent(event + " failed: " + e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void terminate(ProxyProcess proxy, String signal) throws IOException, InterruptedException {
            long startedNanos = proxy.startedNanos();
            long terminationStartNanos = System.nanoTime();
            proxy.signal(signal);
            proxy.await(DRAIN_TIMEOUT_MS);
            terminatedRuns.add(new ProxyRun(proxy.name, startedNanos, terminationStartNanos, System.nanoTime()));
        }

        @Override
        public void close() {
            thread.shutdownNow();
        }
    }

    // ---- evaluation

    private ExperimentResult evaluate(
            Records records,
            LoadResult load,
            Map<String, List<ResourceSampler.Sample>> usage,
            Map<String, Double> fleetFigures)
            throws IOException {
        Verdict verdict = Audit.of(records, Rules.standard(plan.fleet().repeats()));
        Map<String, Double> figures = new LinkedHashMap<>(load.figures());
        figures.put(
                "breaches",
                verdict.counts().values().stream()
                        .mapToDouble(Integer::doubleValue)
                        .sum());
        figures.put("attempts", verdict.attempts() / Math.max(1.0, verdict.requests()));
        figures.put("give_up_p50_ms", verdict.refusalDelayPercentile(50) / 1e6);
        figures.put("give_up_p99_ms", verdict.refusalDelayPercentile(99) / 1e6);
        double totalCpuS = 0;
        double earlyCpuS = 0;
        double maxRssMb = 0;
        for (List<ResourceSampler.Sample> samples : usage.values()) {
            for (int i = 1; i < samples.size(); i++) {
                double spentS = samples.get(i).cpuShare()
                        * (samples.get(i).timeS() - samples.get(i - 1).timeS());
                totalCpuS += spentS;
                earlyCpuS += samples.get(i).timeS() <= EARLY_PHASE_S ? spentS : 0;
            }
            maxRssMb = Math.max(
                    maxRssMb,
                    samples.stream()
                            .mapToDouble(ResourceSampler.Sample::rssMb)
                            .max()
                            .orElse(0));
        }
        figures.put("proxy_cpu_ms_per_request", 1000 * totalCpuS / Math.max(1, load.completed()));
        figures.put("proxy_rss_mb_most", maxRssMb);
        figures.put("proxy_cpu_s_to_ready", cpuToReadyNanos / 1e9);
        figures.put("proxy_cpu_s_early", earlyCpuS / Math.max(1, usage.size()));
        if (plan.proxies().liveHeapAtS() > 0) {
            figures.put("proxy_live_heap_kb", (double) liveHeapKb);
        }
        figures.putAll(fleetFigures);
        List<Threshold.Check> thresholds = new ArrayList<>();
        for (Threshold threshold : plan.thresholds()) {
            try {
                thresholds.add(threshold.check(figures));
            } catch (IllegalArgumentException e) {
                throw new IOException(plan.file() + ": experiment.bars: " + e.getMessage(), e);
            }
        }
        return new ExperimentResult(
                plan,
                load,
                verdict,
                Map.copyOf(figures),
                thresholds,
                List.copyOf(timelineEvents),
                usage,
                nodeLoad(records));
    }

    private Map<String, int[]> nodeLoad(Records records) {
        int seconds = (int) Math.ceil(plan.load().seconds()) + 1;
        Map<String, int[]> loads = new LinkedHashMap<>();
        plan.fleet().nodes().forEach(node -> loads.put(node.id(), new int[seconds]));
        for (Attempt attempt : records.attempts()) {
            int second = (int) ((attempt.firstByteNanos() - loadStartNanos) / 1_000_000_000L);
            if (second >= 0 && second < seconds) {
                loads.get(attempt.node())[second]++;
            }
        }
        return loads;
    }
}
