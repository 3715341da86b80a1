package burlarch.coordination.rollout;

import java.util.concurrent.TimeUnit;

/**
 * Durations and the order mode of a rollout.
 *
 * @param versionDeadlineNanos time from when a version is named until no request may begin on older weights; a
 *     rollout should be done in half of it
 * @param withdrawalLeadNanos how long before an order the routers are told that the engine loads
 * @param reportStalenessNanos largest age of the state that a report describes
 * @param reportIntervalNanos shortest time between reports while an engine loads
 * @param orderMode how engines treat their running requests
 */
public record RolloutSettings(
        long versionDeadlineNanos,
        long withdrawalLeadNanos,
        long reportStalenessNanos,
        long reportIntervalNanos,
        OrderMode orderMode) {
    private static final long WITHDRAWAL_LEAD_MILLIS = 150;
    private static final long REPORT_STALENESS_MILLIS = 600;
    private static final long REPORT_INTERVAL_MILLIS = 500;

    /**
     * Returns the default settings for the deployment's {@code version_ms}. Running requests continue: an engine that
     * lets them finish first is idle for up to the duration of the longest stream, which costs far more value than
     * the load itself.
     */
    public static RolloutSettings of(long versionMillis) {
        return new RolloutSettings(
                TimeUnit.MILLISECONDS.toNanos(versionMillis),
                TimeUnit.MILLISECONDS.toNanos(WITHDRAWAL_LEAD_MILLIS),
                TimeUnit.MILLISECONDS.toNanos(REPORT_STALENESS_MILLIS),
                TimeUnit.MILLISECONDS.toNanos(REPORT_INTERVAL_MILLIS),
                OrderMode.RETAIN);
    }
}
