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
 * CPU and memory of each proxy, several times a second. Bounded: a long run is sampled no more often than it
 * fits.
 */
public final class Samples implements AutoCloseable {
    private static final long PERIOD_MS = 100;
    private static final int MOST = 20_000;

    /**
     * @param cpuShare of a core, since the sample before
     * @param byThread the same by what the threads are for
     */
    public record Sample(double s, double cpuShare, double rssMb, Map<String, Double> byThread) {}

    private final Map<String, List<Sample>> samples = new LinkedHashMap<>();
    private final Map<String, ProxyProcess.Usage> last = new LinkedHashMap<>();
    private final Map<String, ThreadCpu> threads = new HashMap<>();
    private final List<ProxyProcess> proxies;
    private final long startNanos;
    private final ScheduledExecutorService thread;
    private long lastNanos;

    Samples(List<ProxyProcess> proxies, long startNanos) {
        this.proxies = proxies;
        this.startNanos = startNanos;
        proxies.forEach(proxy -> samples.put(proxy.name, new ArrayList<>()));
        thread = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread made = new Thread(task, "burlarch-samples");
            made.setDaemon(true);
            return made;
        });
        lastNanos = System.nanoTime();
        thread.scheduleAtFixedRate(this::sample, PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private synchronized void sample() {
        long nowNanos = System.nanoTime();
        double spanS = (nowNanos - lastNanos) / 1e9;
        lastNanos = nowNanos;
        for (ProxyProcess proxy : proxies) {
            ProxyProcess.Usage usage = proxy.usage();
            ProxyProcess.Usage before = usage == null ? last.remove(proxy.name) : last.put(proxy.name, usage);
            List<Sample> of = samples.get(proxy.name);
            if (usage != null && before != null && usage.cpuS() >= before.cpuS() && of.size() < MOST) {
                Map<String, Double> byThread = new TreeMap<>();
                threads.computeIfAbsent(proxy.name, name -> new ThreadCpu())
                        .since(proxy.pid())
                        .forEach((group, nanos) ->
                                byThread.put(group.name().toLowerCase(java.util.Locale.ROOT), nanos / 1e9 / spanS));
                of.add(new Sample(
                        (nowNanos - startNanos) / 1e9,
                        (usage.cpuS() - before.cpuS()) / spanS,
                        usage.rssMb(),
                        byThread));
            }
        }
    }

    synchronized Map<String, List<Sample>> all() {
        Map<String, List<Sample>> copy = new LinkedHashMap<>();
        samples.forEach((name, list) -> copy.put(name, List.copyOf(list)));
        return copy;
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
