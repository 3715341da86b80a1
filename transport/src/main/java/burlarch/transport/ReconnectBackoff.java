package burlarch.transport;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Exponential backoff with jitter between attempts to connect. The base delay doubles up to a maximum, and each delay
 * is drawn at random between half the base and the base, so that nodes that lost the same peer do not reconnect
 * simultaneously.
 */
final class ReconnectBackoff {
    private final long minNanos;
    private final long maxNanos;
    private long baseDelayNanos;

    ReconnectBackoff(long minNanos, long maxNanos) {
        this.minNanos = minNanos;
        this.maxNanos = maxNanos;
        baseDelayNanos = minNanos;
    }

    /** Returns the delay before the next attempt. */
    long nextDelayNanos() {
        long halfNanos = baseDelayNanos / 2;
        long delayNanos = halfNanos + ThreadLocalRandom.current().nextLong(halfNanos + 1);
        baseDelayNanos = Math.min(2 * baseDelayNanos, maxNanos);
        return delayNanos;
    }

    /** Resets the backoff to its minimum delay. */
    void reset() {
        baseDelayNanos = minNanos;
    }
}
