package burlarch.coordination.rollout;

import java.util.concurrent.TimeUnit;

/**
 * Times of a rollout.
 *
 * @param versionDeadlineNanos from the naming of a version until no request may begin on older weights; a rollout
 * should
 *     be done in half of it
 * @param withdrawalLeadNanos how long before an order routers are told that the engine loads
 * @param reportStalenessNanos how old the state is that a report describes, at most
 * @param reportIntervalNanos least time between reports while an engine loads
 * @param orderMode what becomes of running requests
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
     * The usual times beside the deployment's {@code version_ms}. Running requests go on: an engine that lets them
     * finish first stands idle for up to the longest stream, which costs far more value than the load itself.
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
