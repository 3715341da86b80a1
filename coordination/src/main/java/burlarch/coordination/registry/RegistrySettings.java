package burlarch.coordination.registry;

import java.util.concurrent.TimeUnit;

/**
 * Times and bounds of an {@link InstanceRegistry}.
 *
 * @param expiryNanos an instance without a heartbeat for this long is lost, or unheard during a grace
 * @param graceNanos how long a grace is
 * @param removedRetentionNanos how long a removed instance is remembered
 * @param loadingTimeoutNanos after which the loading state ends by itself
 * @param maxInstances most instances that are not removed; announcements of further ones are rejected
 * @param maxRemoved most removed instances that are remembered
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
     * The usual bounds for instances with this heartbeat interval. The expiry has a lower bound, so that it stays long
     * beside the time between two checks, which would else look like a pause of this process.
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
