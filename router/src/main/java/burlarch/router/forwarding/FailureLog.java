package burlarch.router.forwarding;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.tinylog.Logger;

/**
 * A rate-limited log of failed sends: at most one line for each kind in {@link #INTERVAL_NANOS}; the others
 * are counted. May be called on any thread.
 */
final class FailureLog {
    private static final long INTERVAL_NANOS = 10_000_000_000L;

    /** Guarded by itself. */
    private static final class Kind {
        private long lastLineNanos = System.nanoTime() - INTERVAL_NANOS;
        private int suppressed;
    }

    private final ConcurrentMap<String, Kind> kinds = new ConcurrentHashMap<>();

    /**
     * Records a failure.
     *
     * @param kind one of a few constants: there is an entry for each
     * @param address of the instance, or the failed component
     */
    void record(String kind, String address, Throwable cause) {
        Kind known = kinds.computeIfAbsent(kind, k -> new Kind());
        int suppressedBefore;
        synchronized (known) {
            long now = System.nanoTime();
            if (now - known.lastLineNanos < INTERVAL_NANOS) {
                known.suppressed++;
                return;
            }
            known.lastLineNanos = now;
            suppressedBefore = known.suppressed;
            known.suppressed = 0;
        }
        Logger.warn("send failed: kind={} address={} error={} suppressed={}", kind, address, cause, suppressedBefore);
    }
}
