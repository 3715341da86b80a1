package burlarch.transport;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Delays between attempts to connect: each is twice the one before, up to a bound, and drawn from its upper half, so
 * that nodes that lost the same peer do not come back together.
 */
final class ReconnectBackoff {
    private final long minNanos;
    private final long maxNanos;
    private long currentNanos;

    ReconnectBackoff(long minNanos, long maxNanos) {
        this.minNanos = minNanos;
        this.maxNanos = maxNanos;
        currentNanos = minNanos;
    }

    /** Returns the delay before the next attempt. */
    long nextDelayNanos() {
        long half = currentNanos / 2;
        long delayNanos = half + ThreadLocalRandom.current().nextLong(half + 1);
        currentNanos = Math.min(2 * currentNanos, maxNanos);
        return delayNanos;
    }

    /** Begins again with the shortest delay. */
    void reset() {
        currentNanos = minNanos;
    }
}
