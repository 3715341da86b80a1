package burlarch.routing.admission;

import java.util.Arrays;

/**
 * One router's part of the fleet's retry budget for one service: a fraction of its own first attempts in a
 * sliding window, and an equal part of the slack.
 *
 * <p>Invariant <em>fleet-wide retry budget</em>: the retries of all routers in any window do not exceed the
 * fraction of all first attempts plus the slack, although routers do not exchange counts. The window is
 * counted in buckets, so that the oldest one lies only partly within it. It counts for retries and does not
 * count for first attempts, so the approximation errs to the safe side.
 */
public final class RetryBudget {
    private static final int BUCKETS = 20;
    /** Fraction of the slack in use. The rest covers routers that others do not count as live, as in a partition. */
    private static final double USED_SLACK_FRACTION = 0.5;
    /** How long a lower number of live routers is ignored: half of them may just be partitioned off. */
    private static final long LOWER_COUNT_DELAY_NANOS = 30_000_000_000L;

    private final double ratio;
    private final double slack;
    private final long bucketNanos;
    /** Counts by bucket, in a ring: one bucket more than the window has. */
    private final int[] firstSends = new int[BUCKETS + 1];

    private final int[] retries = new int[BUCKETS + 1];
    private long currentBucket = Long.MIN_VALUE;
    private int liveRouters = 1;
    private int lowerLiveRouters = 1;
    private long lowerSinceNanos;

    /**
     * An empty budget, for a single router.
     *
     * @param ratio retries for each first attempt
     * @param slack retries of the whole fleet beyond that in each window
     */
    public RetryBudget(double ratio, double windowSeconds, double slack) {
        this.ratio = ratio;
        this.slack = slack;
        this.bucketNanos = Math.max(1, (long) (windowSeconds * 1e9 / BUCKETS));
    }

    /** The number of routers that divide the slack. A higher number counts at once, a lower one after 30 s. */
    public void onLiveRouters(int count, long nowNanos) {
        int live = Math.max(1, count);
        if (live >= liveRouters) {
            liveRouters = live;
        } else if (live != lowerLiveRouters || lowerLiveRouters >= liveRouters) {
            lowerSinceNanos = nowNanos;
        }
        lowerLiveRouters = live;
    }

    /** A first attempt was sent. */
    public void onFirstSend(long nowNanos) {
        firstSends[bucket(nowNanos)]++;
    }

    /** A retry was sent. */
    public void onRetry(long nowNanos) {
        retries[bucket(nowNanos)]++;
    }

    /** Whether one more retry stays within the budget. */
    public boolean allows(long nowNanos) {
        int newest = bucket(nowNanos);
        if (lowerLiveRouters < liveRouters && nowNanos - lowerSinceNanos > LOWER_COUNT_DELAY_NANOS) {
            liveRouters = lowerLiveRouters;
        }
        int oldest = (newest + 1) % firstSends.length;
        int firstSendsInWindow = sum(firstSends) - firstSends[oldest];
        return sum(retries) + 1 <= ratio * firstSendsInWindow + USED_SLACK_FRACTION * slack / liveRouters;
    }

    /** Index of the bucket of the current time; empties those that begin since the last call. */
    private int bucket(long nowNanos) {
        long number = Math.floorDiv(nowNanos, bucketNanos);
        if (currentBucket == Long.MIN_VALUE || number - currentBucket > BUCKETS) {
            Arrays.fill(firstSends, 0);
            Arrays.fill(retries, 0);
            currentBucket = number;
        }
        while (currentBucket < number) {
            currentBucket++;
            int begun = indexOf(currentBucket);
            firstSends[begun] = 0;
            retries[begun] = 0;
        }
        return indexOf(currentBucket);
    }

    private int indexOf(long bucketNumber) {
        return (int) Math.floorMod(bucketNumber, (long) firstSends.length);
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }
}
