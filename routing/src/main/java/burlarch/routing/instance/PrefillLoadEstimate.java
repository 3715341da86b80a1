package burlarch.routing.instance;

/**
 * How busy an instance has been with reading lately, for whatever router, by the parts that its events name.
 * What waits there is not told; the busier it was, the longer the queue that is to be expected.
 */
public final class PrefillLoadEstimate {
    private static final double FADE_NANOS = 5e8;
    /** Expected wait at a load of one half, about. */
    private static final double WAIT_NANOS = 8e7;

    private static final double FULL_LOAD = 1.1;

    private double busyNanos;
    private long updatedNanos;

    /** Its events tell that it has read something which alone takes so long. */
    public void onPrefilled(double nanos, long nowNanos) {
        busyNanos = busy(nowNanos) + nanos;
        updatedNanos = nowNanos;
    }

    /** Part of the last while that went into reading, from 0 to 1. */
    double load(long nowNanos) {
        return Math.min(1, busy(nowNanos) / FADE_NANOS);
    }

    /** How long a new request is to be expected to wait. */
    public double waitNanos(long nowNanos) {
        double load = load(nowNanos);
        return WAIT_NANOS * load / (FULL_LOAD - load);
    }

    private double busy(long nowNanos) {
        return busyNanos < 1 ? 0 : busyNanos * Math.exp((updatedNanos - nowNanos) / FADE_NANOS);
    }
}
