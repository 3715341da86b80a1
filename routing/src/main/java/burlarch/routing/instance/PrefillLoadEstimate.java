package burlarch.routing.instance;

/**
 * How busy an instance has been with prefilling lately, for all routers, by the segments that its prefix-cache
 * events name. Events do not report the queue; the wait to be expected is derived from the utilization, as in
 * a queue with a single server.
 */
public final class PrefillLoadEstimate {
    /** Time constant with which past prefilling is forgotten. */
    private static final double FADE_NANOS = 5e8;
    /** Expected wait at a utilization of about one half. */
    private static final double WAIT_NANOS = 8e7;
    /** Above 1, to bound the expected wait at full utilization. */
    private static final double FULL_LOAD = 1.1;

    private double busyNanos;
    private long updatedNanos;

    /** Events of the instance show that it prefilled what takes so long without competition. */
    public void onPrefilled(double prefillNanos, long nowNanos) {
        busyNanos = busyNanos(nowNanos) + prefillNanos;
        updatedNanos = nowNanos;
    }

    /** Utilization: the fraction of recent time spent on prefilling, from 0 to 1. */
    public double load(long nowNanos) {
        return Math.min(1, busyNanos(nowNanos) / FADE_NANOS);
    }

    /** How long a new request is expected to wait. */
    public double waitNanos(long nowNanos) {
        double load = load(nowNanos);
        return WAIT_NANOS * load / (FULL_LOAD - load);
    }

    private double busyNanos(long nowNanos) {
        return busyNanos < 1 ? 0 : busyNanos * Math.exp((updatedNanos - nowNanos) / FADE_NANOS);
    }
}
