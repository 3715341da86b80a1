package burlarch.router.forwarding;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.tinylog.Logger;

/**
 * Rate-limited log of failed sends: at most one line for each kind of failure per {@link #INTERVAL_NANOS};
 * suppressed lines are counted. May be called on any thread.
 */
final class FailureLog {
    private static final long INTERVAL_NANOS = 10_000_000_000L;

    /** Rate limit of one kind of failure; guarded by its own monitor. */
    private static final class KindLimit {
        private long lastLoggedNanos = System.nanoTime() - INTERVAL_NANOS;
        private int suppressed;
    }

    private final ConcurrentMap<String, KindLimit> limitByKind = new ConcurrentHashMap<>();

    /**
     * Logs a failure, or counts it if a line of its kind was logged within the interval.
     *
     * @param kind kind of failure; must come from a small fixed set, as each kind keeps an entry
     * @param address address of the instance, or name of the failed component
     */
    void record(String kind, String address, Throwable cause) {
        KindLimit limit = limitByKind.computeIfAbsent(kind, k -> new KindLimit());
        int suppressedBefore;
        synchronized (limit) {
            long nowNanos = System.nanoTime();
            if (nowNanos - limit.lastLoggedNanos < INTERVAL_NANOS) {
                limit.suppressed++;
                return;
            }
            limit.lastLoggedNanos = nowNanos;
            suppressedBefore = limit.suppressed;
            limit.suppressed = 0;
        }
        Logger.warn("send failed: kind={} address={} error={} suppressed={}", kind, address, cause, suppressedBefore);
    }
}
