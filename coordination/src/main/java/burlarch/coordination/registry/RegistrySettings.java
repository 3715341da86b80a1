package burlarch.coordination.registry;

import java.util.concurrent.TimeUnit;

/**
 * Bounds of a registry. Times are nanoseconds.
 *
 * @param expiryNanos an instance that wasn't heard of for so long counts as gone
 * @param graceNanos nothing expires for so long after the registry itself knew little
 * @param removedRetentionNanos how long an instance that has gone is remembered
 * @param loadingTimeoutNanos a mark of loading ends by itself after so long
 * @param maxInstances how many instances live at most; others are turned away
 * @param maxRemoved how many that have gone are remembered at most
 */
public record RegistrySettings(
        long expiryNanos,
        long graceNanos,
        long removedRetentionNanos,
        long loadingTimeoutNanos,
        int maxInstances,
        int maxRemoved) {
    private static final int MISSED_HEARTBEATS = 5;
    private static final long MIN_EXPIRY_SECONDS = 3;
    private static final long REMOVED_RETENTION_SECONDS = 60;
    private static final long LOADING_TIMEOUT_SECONDS = 30;
    private static final int MAX_INSTANCES = 4096;
    private static final int MAX_REMOVED = 1024;

    /**
     * The usual bounds for instances that announce themselves so often. However often that is, expiry stays
     * long beside a pause between two checks, which would else look like a standstill of the process.
     */
    public static RegistrySettings forHeartbeat(long heartbeatNanos) {
        long expiry = Math.max(MISSED_HEARTBEATS * heartbeatNanos, TimeUnit.SECONDS.toNanos(MIN_EXPIRY_SECONDS));
        return new RegistrySettings(
                expiry,
                expiry,
                TimeUnit.SECONDS.toNanos(REMOVED_RETENTION_SECONDS),
                TimeUnit.SECONDS.toNanos(LOADING_TIMEOUT_SECONDS),
                MAX_INSTANCES,
                MAX_REMOVED);
    }
}
