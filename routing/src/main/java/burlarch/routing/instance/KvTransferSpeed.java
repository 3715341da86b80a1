package burlarch.routing.instance;

/**
 * Running estimate of the slowdown of KV transfers to one instance against its nominal link speed. Without new samples
 * it fades linearly to the nominal speed.
 */
public final class KvTransferSpeed {
    private static final double GAIN = 0.3;
    private static final double MAX_SLOWDOWN = 30;
    /** Time in which the slowdown fades to none without new samples. */
    private static final double FADE_NANOS = 3e9;
    /** Transfers with a shorter nominal time are ignored, because their delay comes from other work. */
    private static final double MIN_SAMPLE_NANOS = 15e6;
    /** Delay that can be explained by prefilling for other requests. */
    private static final double TOLERATED_NANOS = 150e6;

    private double slowdown = 1;
    private long updatedNanos;

    /** Returns the factor by which the nominal time of a transfer is to be multiplied, 1 or more. */
    public double slowdown(long nowNanos) {
        double fade = Math.max(0, 1 - (nowNanos - updatedNanos) / FADE_NANOS);
        return 1 + (slowdown - 1) * fade;
    }

    /**
     * Records the end of a transfer.
     *
     * @param expectedNanos predicted duration, including the slowdown at the time of the prediction
     * @param lateNanos time by which it took longer; negative if it was faster
     */
    public void onTransferEnded(double expectedNanos, double lateNanos, long nowNanos) {
        double slowdownBefore = slowdown(nowNanos);
        double nominalNanos = expectedNanos / slowdownBefore;
        if (nominalNanos < MIN_SAMPLE_NANOS) {
            return;
        }
        double unexplainedNanos = lateNanos > 0 ? Math.max(0, lateNanos - TOLERATED_NANOS) : lateNanos;
        double sample = Math.max(1, Math.min(MAX_SLOWDOWN, (expectedNanos + unexplainedNanos) / nominalNanos));
        slowdown = slowdownBefore + (sample - slowdownBefore) * GAIN;
        updatedNanos = nowNanos;
    }
}
