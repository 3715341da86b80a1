package burlarch.proxy;

import java.util.concurrent.TimeUnit;

/**
 * The proxy's monotonic clock, in nanoseconds. It starts far above zero, as the decision module takes a boot
 * time of 0 for "long ago" and a server may have started well before this process.
 */
final class ProxyClock {
    private static final long START_NANOS = TimeUnit.DAYS.toNanos(3650);

    private final long originNanos = System.nanoTime();
    /**
     * Wall-clock time at the origin. Read once only: if it were read for each member list, a step of the wall
     * clock would look like a restart of every server.
     */
    private final long originWallMs = System.currentTimeMillis();

    long nowNanos() {
        return START_NANOS + System.nanoTime() - originNanos;
    }

    /**
     * Converts a server's start time from discovery to this clock.
     *
     * @param startedAtMs milliseconds since the epoch; 0 or less if unknown, which gives 0
     */
    long bootNanos(long startedAtMs) {
        if (startedAtMs <= 0) {
            return 0;
        }
        long sinceOriginMs = Math.max(
                -TimeUnit.DAYS.toMillis(3000), Math.min(TimeUnit.DAYS.toMillis(3000), startedAtMs - originWallMs));
        return START_NANOS + TimeUnit.MILLISECONDS.toNanos(sinceOriginMs);
    }
}
