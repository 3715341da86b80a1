package burlarch.overload;

import java.util.Arrays;

/**
 * What a proxy admits while its own loop is behind, told by its host, which passes the time with every call.
 * It knows how far the loop is behind from a beat that the host lets it hear at a steady period: one that
 * comes late waited for the work before it.
 *
 * <p>Short bursts and stops are no overload. As in CoDel (Nichols and Jacobson, ACM Queue 2012) what counts
 * is the least lag within an interval: a queue that was empty once has been worked off. While that stands
 * over its target, the part of the requests that is admitted shrinks each interval, at most to a half, and
 * grows again by a fixed step once it does not (AIMD, as in gradient limits); the part is shared out by
 * worth, as in DAGOR (Zhou and others, SoCC 2018): the less worthy are refused first, and all of them before
 * any of the more worthy. What can't be answered in its time is refused whatever its worth.
 *
 * <p>State is a few numbers for each rank of worth. Confined to one thread. Times are nanoseconds of one
 * clock.
 */
public final class OwnLoad {
    /** How long the least lag is looked for: long enough for a process that is stopped in each 100 ms. */
    static final long INTERVAL_NANOS = 100_000_000L;
    /** Beats in it at least: one that is late tells of one stop, not of a queue that stands. */
    static final int BEATS_LEAST = 3;
    /** A standing lag beyond this is overload. */
    static final long TARGET_NANOS = 10_000_000L;
    /** How much of the admitted part one interval may take, and what one gives back. */
    static final double SHRINK_MOST = 0.5;

    static final double GROWTH = 0.05;
    /** Some are always let in, or it would not be seen when they could be served. */
    static final double PART_LEAST = 0.02;
    /** Shares of the ranks follow arrivals within about this many intervals. */
    private static final double SHARE_GAIN = 0.3;

    private static final long RETRY_LEAST_NANOS = 200_000_000L;
    /** Steps of the golden ratio lie evenly, however many: refused clients come back apart. */
    private static final double SPREAD_STEP = 0.6180339887498949;

    private final long beatNanos;
    private final double[] worths;
    /** By rank, the most worthy first: arrivals of this interval, their part of all, and what is saved up. */
    private final double[] arrivals;

    private final double[] shares;
    private final double[] credit;
    private long lastBeatNanos;
    private long intervalEndNanos;
    private int beats;
    private long leastLagNanos = Long.MAX_VALUE;
    private long standingLagNanos;
    private double part = 1;
    private double spread;
    private long refused;

    /**
     * @param nowNanos  the time
     * @param beatNanos the beat's period
     * @param worths    of the classes, by their numbers; what is of none counts as of the least
     */
    public OwnLoad(long nowNanos, long beatNanos, double[] worths) {
        this.beatNanos = beatNanos;
        this.worths = Arrays.stream(worths).distinct().sorted().toArray();
        for (int i = 0, j = this.worths.length - 1; i < j; i++, j--) {
            double swapped = this.worths[i];
            this.worths[i] = this.worths[j];
            this.worths[j] = swapped;
        }
        int ranks = Math.max(1, this.worths.length);
        arrivals = new double[ranks];
        shares = new double[ranks];
        credit = new double[ranks];
        Arrays.fill(shares, 1.0 / ranks);
        lastBeatNanos = nowNanos;
        intervalEndNanos = nowNanos + INTERVAL_NANOS;
    }

    /** The beat has come. A clock that stood still or went back is taken for no lag. */
    public void beat(long nowNanos) {
        long lagNanos = Math.max(0, nowNanos - lastBeatNanos - beatNanos);
        lastBeatNanos = nowNanos;
        leastLagNanos = Math.min(leastLagNanos, lagNanos);
        if (++beats >= BEATS_LEAST && nowNanos >= intervalEndNanos) {
            endInterval(nowNanos);
        }
    }

    private void endInterval(long nowNanos) {
        intervalEndNanos = nowNanos + INTERVAL_NANOS;
        beats = 0;
        standingLagNanos = leastLagNanos;
        leastLagNanos = Long.MAX_VALUE;
        if (standingLagNanos > TARGET_NANOS) {
            part *= Math.max(SHRINK_MOST, (double) TARGET_NANOS / standingLagNanos);
            part = Math.max(PART_LEAST, part);
        } else {
            part = Math.min(1, part + GROWTH);
        }
        double sum = Arrays.stream(arrivals).sum();
        for (int i = 0; i < shares.length && sum > 0; i++) {
            shares[i] += SHARE_GAIN * (arrivals[i] / sum - shares[i]);
            arrivals[i] = 0;
        }
    }

    /**
     * A request has been read.
     *
     * @param lagNanos  how long it may have lain there
     * @param leftNanos from now to when its answer has to be back, if it was read as soon as it came
     * @return whether it is admitted; if not it is to be refused at once
     */
    public boolean admits(double worth, long lagNanos, long leftNanos) {
        int rank = rank(worth);
        arrivals[rank]++;
        if (part >= 1) {
            return true;
        }
        // Its answer will lie there for as long as it did.
        boolean hopeless = standingLagNanos > TARGET_NANOS && 2 * lagNanos >= leftNanos;
        double before = 0;
        for (int i = 0; i < rank; i++) {
            before += shares[i];
        }
        double admitted = shares[rank] <= 0 ? part - before : (part - before) / shares[rank];
        credit[rank] = Math.min(2, credit[rank] + Math.min(1, Math.max(0, admitted)));
        if (hopeless || credit[rank] < 1) {
            refused++;
            return false;
        }
        credit[rank]--;
        return true;
    }

    private int rank(double worth) {
        for (int i = 0; i < worths.length; i++) {
            if (worth >= worths[i]) {
                return i;
            }
        }
        return credit.length - 1;
    }

    /** @return when a client that has just been refused may come again, from now; spread out */
    public long retryAfterNanos() {
        spread = (spread + SPREAD_STEP) % 1;
        return (long) ((RETRY_LEAST_NANOS + 4 * standingLagNanos) * (0.5 + spread));
    }

    /** @return the part of the requests that is admitted, 1 without overload */
    public double admittedPart() {
        return part;
    }

    /** @return the least lag of the last whole interval, in nanoseconds */
    public long standingLagNanos() {
        return standingLagNanos;
    }

    /** @return how many it has refused */
    public long refused() {
        return refused;
    }
}
