package burlarch.routing.instance;

/**
 * Estimate of the recent prefill utilization of an instance, by all routers, from the segments in its prefix-cache
 * events. Events do not report the queue; the expected wait is derived from the utilization, as in a single-server
 * queue.
 */
public final class PrefillLoadEstimate {
    /** Time constant of the exponential decay of past prefilling. */
    private static final double FADE_NANOS = 5e8;
    /** Expected wait at a utilization of about one half. */
    private static final double WAIT_NANOS = 8e7;
    /** Greater than 1, to bound the expected wait at full utilization. */
    private static final double FULL_LOAD = 1.1;

    private double busyNanos;
    private long updatedNanos;

    /**
     * Records prefilling that events of the instance show.
     *
     * @param prefillNanos time that it takes without competition
     */
    public void onPrefilled(double prefillNanos, long nowNanos) {
        busyNanos = busyNanos(nowNanos) + prefillNanos;
        updatedNanos = nowNanos;
    }

    /** Returns the utilization: the fraction of recent time spent on prefilling, from 0 to 1. */
    public double load(long nowNanos) {
        return Math.min(1, busyNanos(nowNanos) / FADE_NANOS);
    }

    /** Returns the expected wait of a new request. */
    public double waitNanos(long nowNanos) {
        double load = load(nowNanos);
        return WAIT_NANOS * load / (FULL_LOAD - load);
    }

    private double busyNanos(long nowNanos) {
        return busyNanos < 1 ? 0 : busyNanos * Math.exp((updatedNanos - nowNanos) / FADE_NANOS);
    }
}
