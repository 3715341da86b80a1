package burlarch.routing.instance;

/** How much longer than its link says moves to one instance take, as the last ones did. */
public final class KvTransferSpeed {
    private static final double GAIN = 0.3;
    private static final double MAX_SLOWNESS = 30;
    /** How long a link that showed slow is taken for slow without new evidence. */
    private static final double FADE_NANOS = 3e9;
    /** Shorter moves tell nothing: their lateness is other work's. */
    private static final double MIN_SAMPLE_NANOS = 15e6;
    /** Lateness that other requests' reading explains. */
    private static final double TOLERATED_NANOS = 150e6;

    private double slowness = 1;
    private long updatedNanos;

    /** The factor, 1 or more. */
    public double slowness(long nowNanos) {
        double fade = Math.max(0, 1 - (nowNanos - updatedNanos) / FADE_NANOS);
        return 1 + (slowness - 1) * fade;
    }

    /** A move that was to take so long came so much later than that. */
    public void onTransferEnded(double expectedNanos, double lateNanos, long nowNanos) {
        double before = slowness(nowNanos);
        double nominal = expectedNanos / before;
        if (nominal < MIN_SAMPLE_NANOS) {
            return;
        }
        double late = lateNanos > 0 ? Math.max(0, lateNanos - TOLERATED_NANOS) : lateNanos;
        double sample = Math.max(1, Math.min(MAX_SLOWNESS, (expectedNanos + late) / nominal));
        slowness = before + (sample - before) * GAIN;
        updatedNanos = nowNanos;
    }
}
