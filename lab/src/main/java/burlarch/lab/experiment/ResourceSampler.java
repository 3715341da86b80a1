package burlarch.lab.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Samples CPU and memory usage of each proxy every 100 ms on its own thread. The number of samples per proxy is
 * bounded; later samples of a long run are dropped. Its lock guards the samples.
 */
public final class ResourceSampler implements AutoCloseable {
    private static final long PERIOD_MS = 100;
    private static final int MAX_SAMPLES = 20_000;

    /**
     * One sample of a proxy.
     *
     * @param timeS seconds after the start of the load
     * @param cpuShare CPU cores used since the previous sample
     * @param byThread the same by thread group
     */
    public record Sample(double timeS, double cpuShare, double rssMb, Map<String, Double> byThread) {}

    private final Map<String, List<Sample>> samples = new LinkedHashMap<>();
    private final Map<String, ProxyProcess.Usage> previousUsage = new LinkedHashMap<>();
    private final Map<String, ThreadCpu> threadCpu = new HashMap<>();
    private final List<ProxyProcess> proxies;
    private final long startNanos;
    private final ScheduledExecutorService executor;
    private long lastNanos;

    ResourceSampler(List<ProxyProcess> proxies, long startNanos) {
        this.proxies = proxies;
        this.startNanos = startNanos;
        proxies.forEach(proxy -> samples.put(proxy.name, new ArrayList<>()));
        executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread daemon = new Thread(task, "burlarch-samples");
            daemon.setDaemon(true);
            return daemon;
        });
        lastNanos = System.nanoTime();
        executor.scheduleAtFixedRate(this::sample, PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private synchronized void sample() {
        long nowNanos = System.nanoTime();
        double intervalS = (nowNanos - lastNanos) / 1e9;
        lastNanos = nowNanos;
        for (ProxyProcess proxy : proxies) {
            ProxyProcess.Usage usage = proxy.usage();
            ProxyProcess.Usage before =
                    usage == null ? previousUsage.remove(proxy.name) : previousUsage.put(proxy.name, usage);
            List<Sample> proxySamples = samples.get(proxy.name);
            if (usage != null && before != null && usage.cpuS() >= before.cpuS() && proxySamples.size() < MAX_SAMPLES) {
                Map<String, Double> byThread = new TreeMap<>();
                threadCpu
                        .computeIfAbsent(proxy.name, name -> new ThreadCpu())
                        .sinceLastCall(proxy.pid())
                        .forEach((group, nanos) ->
                                byThread.put(group.name().toLowerCase(java.util.Locale.ROOT), nanos / 1e9 / intervalS));
                proxySamples.add(new Sample(
                        (nowNanos - startNanos) / 1e9,
                        (usage.cpuS() - before.cpuS()) / intervalS,
                        usage.rssMb(),
                        byThread));
            }
        }
    }

    synchronized Map<String, List<Sample>> snapshot() {
        Map<String, List<Sample>> copy = new LinkedHashMap<>();
        samples.forEach((name, list) -> copy.put(name, List.copyOf(list)));
        return copy;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
