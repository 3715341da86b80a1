package burlarch.coordination.registry;

import java.util.concurrent.TimeUnit;

/**
 * Durations and bounds of an {@link InstanceRegistry}.
 *
 * @param expiryNanos an instance without a heartbeat for this long is lost, or unheard during a grace period
 * @param graceNanos length of a grace period
 * @param removedRetentionNanos how long a removed instance is remembered
 * @param loadingTimeoutNanos how long the loading state lasts before it ends by itself
 * @param maxInstances largest number of instances that are not removed; announcements of further ones are rejected
 * @param maxRemoved largest number of removed instances that are remembered
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
     * Returns the default settings for instances with this heartbeat interval. The expiry has a lower bound, so that
     * it stays long compared with the time between two checks, which would otherwise look like a pause of this
     * process.
     */
    public static RegistrySettings forHeartbeat(long heartbeatNanos) {
        long expiryNanos = Math.max(MISSED_HEARTBEATS * heartbeatNanos, TimeUnit.SECONDS.toNanos(MIN_EXPIRY_SECONDS));
        return new RegistrySettings(
                expiryNanos,
                expiryNanos,
                TimeUnit.SECONDS.toNanos(REMOVED_RETENTION_SECONDS),
                TimeUnit.SECONDS.toNanos(LOADING_TIMEOUT_SECONDS),
                MAX_INSTANCES,
                MAX_REMOVED);
    }
}
