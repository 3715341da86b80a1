package burlarch.routing.instance;

/**
 * How much longer KV transfers to one instance take than its nominal link speed allows, as a running average
 * of recent transfers. Without new samples it fades linearly to nominal speed.
 */
public final class KvTransferSpeed {
    private static final double GAIN = 0.3;
    private static final double MAX_SLOWNESS = 30;
    /** How long a slow link is assumed to stay slow without new samples. */
    private static final double FADE_NANOS = 3e9;
    /** Shorter transfers are ignored: their delay comes from other work. */
    private static final double MIN_SAMPLE_NANOS = 15e6;
    /** Delay that prefilling for other requests explains. */
    private static final double TOLERATED_NANOS = 150e6;

    private double slowness = 1;
    private long updatedNanos;

    /** By how much the nominal time of a transfer is to be multiplied, 1 or more. */
    public double slowness(long nowNanos) {
        double fade = Math.max(0, 1 - (nowNanos - updatedNanos) / FADE_NANOS);
        return 1 + (slowness - 1) * fade;
    }

    /**
     * A transfer ended.
     *
     * @param expectedNanos predicted duration, with the slowness of that time
     * @param lateNanos by how much it took longer; negative if it was faster
     */
    public void onTransferEnded(double expectedNanos, double lateNanos, long nowNanos) {
        double before = slowness(nowNanos);
        double nominalNanos = expectedNanos / before;
        if (nominalNanos < MIN_SAMPLE_NANOS) {
            return;
        }
        double unexplainedNanos = lateNanos > 0 ? Math.max(0, lateNanos - TOLERATED_NANOS) : lateNanos;
        double sample = Math.max(1, Math.min(MAX_SLOWNESS, (expectedNanos + unexplainedNanos) / nominalNanos));
        slowness = before + (sample - before) * GAIN;
        updatedNanos = nowNanos;
    }
}
