package burlarch.router;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.tinylog.Logger;

/** One line for each kind of failure, at most one in some seconds; the others are counted. */
final class FailureLog {
    private static final long PAUSE_NANOS = 10_000_000_000L;

    private static final class Kind {
        private long lastNanos = System.nanoTime() - PAUSE_NANOS;
        private int unsaid;
    }

    private final ConcurrentMap<String, Kind> kinds = new ConcurrentHashMap<>();

    /** Notes a failure; {@code kind} is one of a few constants. */
    void note(String kind, String where, Throwable cause) {
        Kind known = kinds.computeIfAbsent(kind, k -> new Kind());
        int before;
        synchronized (known) {
            long now = System.nanoTime();
            if (now - known.lastNanos < PAUSE_NANOS) {
                known.unsaid++;
                return;
            }
            known.lastNanos = now;
            before = known.unsaid;
            known.unsaid = 0;
        }
        Logger.warn("{} ({}): {}; {} more since the last line", kind, where, cause, before);
    }
}
