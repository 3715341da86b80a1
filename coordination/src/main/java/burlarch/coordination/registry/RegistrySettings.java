package burlarch.coordination.registry;

import java.util.concurrent.TimeUnit;

/**
 * Bounds of a registry. Times are nanoseconds.
 *
 * @param expiryNanos an instance that wasn't heard of for so long counts as gone
 * @param graceNanos nothing expires for so long after the registry itself knew little
 * @param goneNanos how long an instance that has gone is remembered
 * @param loadingNanos a mark of loading ends by itself after so long
 * @param mostInstances how many instances live at most; others are turned away
 * @param mostGone how many that have gone are remembered at most
 */
public record RegistrySettings(
        long expiryNanos, long graceNanos, long goneNanos, long loadingNanos, int mostInstances, int mostGone) {
    private static final int MISSED_HEARTBEATS = 5;
    private static final long LEAST_EXPIRY_SECONDS = 3;
    private static final long GONE_SECONDS = 60;
    private static final long LOADING_SECONDS = 30;
    private static final int MOST_INSTANCES = 4096;
    private static final int MOST_GONE = 1024;

    /**
     * The usual bounds for instances that announce themselves so often. However often that is, expiry stays
     * long beside a pause between two checks, which would else look like a standstill of the process.
     */
    public static RegistrySettings forHeartbeat(long heartbeatNanos) {
        long expiry = Math.max(MISSED_HEARTBEATS * heartbeatNanos, TimeUnit.SECONDS.toNanos(LEAST_EXPIRY_SECONDS));
        return new RegistrySettings(
                expiry,
                expiry,
                TimeUnit.SECONDS.toNanos(GONE_SECONDS),
                TimeUnit.SECONDS.toNanos(LOADING_SECONDS),
                MOST_INSTANCES,
                MOST_GONE);
    }
}
