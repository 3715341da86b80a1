package burlarch.admission;

/**
 * The capacity c of one server for one proxy, in requests per second, learned from the outcomes of attempts. It
 * rises only while the throttle binds and answers arrive in time. It is cut at most once for each batch of
 * outcomes: on errors, time-outs and refusals, and on growing latency before any of these.
 *
 * <p>Strain is the smoothed part of the target latency that answers take; a failure counts as 1. Not thread-safe.
 */
public final class LearnedCapacity {
    /** A server with more strain than this is overloaded. */
    private static final double OVERLOAD_STRAIN = 0.35;
    /** Strain over baseline that is overload, where the baseline is near the target; also c over offered rate. */
    private static final double MARGIN_FACTOR = 1.5;

    private static final double CUT_FACTOR = 0.9;
    private static final double GAIN_AFTER_CUT = 0.1;
    /** Low enough to do no harm to an overloaded server, high enough for a few fetches to prove recovery. */
    public static final double FLOOR_PER_SECOND = 2;

    /** Number of outcomes that one decision is based on; also the window W of the goodput estimate. */
    private final double batch;

    private double floorPerSecond;
    /** Factor of the growth of c above half the ceiling, for a proxy that sees few outcomes. */
    private final double growthSpeed;

    public final CallGapping throttle;
    private double capacity;
    private double strain;
    private double goodput;
    private double growthGain = 1;
    private double baselineStrain = OVERLOAD_STRAIN / MARGIN_FACTOR;
    /** At each cut, {@link #CUT_FACTOR} times the larger of c and the ceiling before; 0 before the first cut. */
    private double ceiling;

    private long lastOutcomeNanos;
    private long lastCutNanos = Long.MIN_VALUE;
    private long mayGrowUntilNanos = Long.MIN_VALUE;

    /** Starts with c at {@code initial} per second, or at the floor if that is higher. */
    public LearnedCapacity(double[] shares, double initial, double floorPerSecond, double batch, double growthSpeed) {
        throttle = new CallGapping(shares);
        this.batch = batch;
        this.growthSpeed = growthSpeed;
        this.floorPerSecond = floorPerSecond;
        capacity = Math.max(floorPerSecond, initial);
    }

    /** Sets the lowest capacity and raises a lower learned capacity to it. */
    public void setFloor(double minPerSecond) {
        floorPerSecond = minPerSecond;
        capacity = Math.max(floorPerSecond, capacity);
    }

    /** Returns c. */
    public double perSecond() {
        return capacity;
    }

    /** Before the first cut, raises c above the offered rate, so that the throttle does not bind. */
    public void growAheadOfOffers() {
        capacity = Math.max(capacity, ceiling == 0 ? throttle.offeredTotal() * MARGIN_FACTOR : 0);
    }

    /** Makes an offer to the throttle. Good outcomes may raise c only where the throttle binds or nearly does. */
    public boolean offer(int tenant, double windowOffers, long nowNanos) {
        boolean admitted = throttle.offer(tenant, capacity, windowOffers, nowNanos);
        if (!admitted || throttle.offeredTotal() > 0.8 * capacity) {
            onThrottleBinding(nowNanos);
        }
        return admitted;
    }

    /** Reverts an offer that was admitted {@code ageNanos} ago and was not sent. */
    public void withdraw(int tenant, double windowOffers, long ageNanos) {
        throttle.withdraw(tenant, capacity, windowOffers, ageNanos * 1e-9);
    }

    /** Allows good outcomes to raise c for the time of one batch at the current rate. */
    public void onThrottleBinding(long nowNanos) {
        mayGrowUntilNanos = nowNanos + (long) (batch / capacity * 1e9);
    }

    /**
     * Records the outcome of an attempt and adjusts c.
     *
     * @param sentNanos when the attempt was sent; one sent before the last cut is no evidence about the new c
     * @param strainSample the part of the target latency that the answer took, 1 for errors, time-outs and refusals
     * @return whether c was cut
     */
    public boolean onOutcome(long sentNanos, double strainSample, boolean accepted, long nowNanos) {
        goodput =
                CallGapping.nextRate(goodput, accepted ? 1 : 0, (nowNanos - lastOutcomeNanos) * 1e-9, batch / capacity);
        lastOutcomeNanos = nowNanos;
        if (sentNanos < lastCutNanos) {
            return false;
        }
        strain += (Math.min(1, strainSample) - strain) / batch;
        baselineStrain += (strain - baselineStrain) * (strain < baselineStrain ? 0.1 : 0.001);
        if (strain > Math.max(OVERLOAD_STRAIN, MARGIN_FACTOR * baselineStrain)) {
            ceiling = CUT_FACTOR * Math.max(capacity, ceiling);
            capacity = Math.max(floorPerSecond, CUT_FACTOR * Math.min(capacity, Math.max(goodput, capacity / 2)));
            lastCutNanos = nowNanos;
            strain = baselineStrain;
            growthGain = GAIN_AFTER_CUT;
            return true;
        }
        if (accepted && strainSample < OVERLOAD_STRAIN && nowNanos < mayGrowUntilNanos) {
            // Below half the ceiling, c doubles in about one answer time however few answers arrive, so that a
            // short fault does not leave it at the floor. Above, it grows by a gain that recovers gradually.
            // Drawback: each climb overloads a server whose capacity fell permanently for one answer time.
            if (ceiling == 0 || capacity < ceiling / 2) {
                capacity += Math.min(capacity / 4, 1e9 / Math.max(1, nowNanos - sentNanos));
            } else {
                capacity += capacity * growthSpeed * growthGain / batch;
                growthGain = Math.min(1, growthGain * (1 + 0.5 / batch));
            }
        }
        return false;
    }
}
