package burlarch.overload;

import java.util.Arrays;

/**
 * Admission control of a proxy against overload of its own event loop. The host calls {@link #beat} at a steady
 * period and passes the time with every call. The lag of the loop is measured by the delay of a beat, which
 * waits for the work queued before it.
 *
 * <p>Short bursts and pauses are no overload. As in CoDel (Nichols and Jacobson, ACM Queue 2012), the minimum lag
 * within an interval counts, the standing lag: a queue that was empty once has been worked off. While the
 * standing lag exceeds its target, the admitted fraction of the requests shrinks in each interval, at most to a
 * half, and otherwise grows by a fixed step (AIMD, as in gradient limits). The fraction is distributed by worth,
 * as in DAGOR (Zhou and others, SoCC 2018): requests of the lowest worth are refused first, and all of them
 * before any of a higher worth. A request that cannot be answered in its time is refused whatever its worth.
 *
 * <p>State is a few numbers for each rank of worth, where rank 0 has the highest worth. Not thread-safe. Times are
 * nanoseconds of one clock.
 */
public final class LoadShedder {
    /** Interval over which the minimum lag is taken: covers a CPU quota that stops the process in each 100 ms. */
    static final long INTERVAL_NANOS = 100_000_000L;
    /** Fewest beats in an interval: a single late beat may be caused by one pause and not by a standing queue. */
    static final int MIN_BEATS = 3;
    /** A longer standing lag is overload. */
    static final long TARGET_NANOS = 10_000_000L;
    /** Lowest factor on the admitted fraction in an overloaded interval, and its growth in any other. */
    static final double MIN_SHRINK_FACTOR = 0.5;

    static final double GROWTH_STEP = 0.05;
    /** Some requests are always admitted, as otherwise it would not show when they can be served again. */
    static final double MIN_ADMITTED_FRACTION = 0.02;
    /** Weight of the last interval in the moving average of each rank's share of arrivals. */
    private static final double SHARE_GAIN = 0.3;

    private static final long MIN_RETRY_AFTER_NANOS = 200_000_000L;
    /** Multiples of the golden ratio, modulo 1, are spread evenly: refused clients return at different times. */
    private static final double GOLDEN_RATIO_STEP = 0.6180339887498949;

    private final long beatPeriodNanos;
    private final double[] worthsByRank;
    /** By rank: arrivals in this interval, share of all arrivals, and accumulated credit for admissions. */
    private final double[] arrivals;

    private final double[] arrivalShares;
    private final double[] credits;
    private long lastBeatNanos;
    private long intervalEndNanos;
    private int beats;
    private long minLagNanos = Long.MAX_VALUE;
    private long standingLagNanos;
    private double admittedFraction = 1;
    private double retrySpread;
    private long refusedCount;

    /**
     * @param nowNanos current time
     * @param beatPeriodNanos period of the calls of {@link #beat}
     * @param worths worths of the request classes, in any order; a lower worth counts as the lowest of them
     */
    public LoadShedder(long nowNanos, long beatPeriodNanos, double[] worths) {
        this.beatPeriodNanos = beatPeriodNanos;
        this.worthsByRank = Arrays.stream(worths).distinct().sorted().toArray();
        for (int i = 0, j = this.worthsByRank.length - 1; i < j; i++, j--) {
            double swapped = this.worthsByRank[i];
            this.worthsByRank[i] = this.worthsByRank[j];
            this.worthsByRank[j] = swapped;
        }
        int rankCount = Math.max(1, this.worthsByRank.length);
        arrivals = new double[rankCount];
        arrivalShares = new double[rankCount];
        credits = new double[rankCount];
        Arrays.fill(arrivalShares, 1.0 / rankCount);
        lastBeatNanos = nowNanos;
        intervalEndNanos = nowNanos + INTERVAL_NANOS;
    }

    /** Measures the lag; called once per beat period. A clock that stands still or goes back counts as no lag. */
    public void beat(long nowNanos) {
        long lagNanos = Math.max(0, nowNanos - lastBeatNanos - beatPeriodNanos);
        lastBeatNanos = nowNanos;
        minLagNanos = Math.min(minLagNanos, lagNanos);
        if (++beats >= MIN_BEATS && nowNanos >= intervalEndNanos) {
            endInterval(nowNanos);
        }
    }

    private void endInterval(long nowNanos) {
        intervalEndNanos = nowNanos + INTERVAL_NANOS;
        beats = 0;
        standingLagNanos = minLagNanos;
        minLagNanos = Long.MAX_VALUE;
        if (standingLagNanos > TARGET_NANOS) {
            admittedFraction *= Math.max(MIN_SHRINK_FACTOR, (double) TARGET_NANOS / standingLagNanos);
            admittedFraction = Math.max(MIN_ADMITTED_FRACTION, admittedFraction);
        } else {
            admittedFraction = Math.min(1, admittedFraction + GROWTH_STEP);
        }
        double totalArrivals = Arrays.stream(arrivals).sum();
        for (int i = 0; i < arrivalShares.length && totalArrivals > 0; i++) {
            arrivalShares[i] += SHARE_GAIN * (arrivals[i] / totalArrivals - arrivalShares[i]);
            arrivals[i] = 0;
        }
    }

    /**
     * Decides on a request that has been read.
     *
     * @param lagNanos how long the request may have waited before it was read
     * @param timeLeftNanos time until its answer is due, counted as if it had been read on arrival
     * @return whether it is admitted; otherwise it has to be refused at once
     */
    public boolean admits(double worth, long lagNanos, long timeLeftNanos) {
        int rank = rankOf(worth);
        arrivals[rank]++;
        if (admittedFraction >= 1) {
            return true;
        }
        // The answer will wait for as long as the request did.
        boolean tooLate = standingLagNanos > TARGET_NANOS && 2 * lagNanos >= timeLeftNanos;
        double higherRanksShare = 0;
        for (int i = 0; i < rank; i++) {
            higherRanksShare += arrivalShares[i];
        }
        double rankAdmittedFraction = arrivalShares[rank] <= 0
                ? admittedFraction - higherRanksShare
                : (admittedFraction - higherRanksShare) / arrivalShares[rank];
        credits[rank] = Math.min(2, credits[rank] + Math.min(1, Math.max(0, rankAdmittedFraction)));
        if (tooLate || credits[rank] < 1) {
            refusedCount++;
            return false;
        }
        credits[rank]--;
        return true;
    }

    private int rankOf(double worth) {
        for (int i = 0; i < worthsByRank.length; i++) {
            if (worth >= worthsByRank[i]) {
                return i;
            }
        }
        return credits.length - 1;
    }

    /** Returns the delay, different in each call, after which a client that was just refused may retry. */
    public long retryAfterNanos() {
        retrySpread = (retrySpread + GOLDEN_RATIO_STEP) % 1;
        return (long) ((MIN_RETRY_AFTER_NANOS + 4 * standingLagNanos) * (0.5 + retrySpread));
    }

    /** Returns the fraction of the requests that is admitted, 1 without overload. */
    public double admittedFraction() {
        return admittedFraction;
    }

    /** Returns the minimum lag of the last complete interval. */
    public long standingLagNanos() {
        return standingLagNanos;
    }

    /** Returns the number of requests refused so far. */
    public long refused() {
        return refusedCount;
    }
}
