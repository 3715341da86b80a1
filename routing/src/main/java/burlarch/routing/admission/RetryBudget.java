package burlarch.routing.admission;

import java.util.Arrays;

/**
 * One router's part of the fleet-wide retry budget for one service: a fraction of the router's own first attempts in a
 * sliding window, plus an equal part of the slack.
 *
 * <p>Invariant <em>fleet-wide retry budget</em>: the retries of all routers in any window do not exceed the fraction
 * of all first attempts plus the slack, although routers exchange no counts. The window is counted in buckets, so the
 * oldest bucket lies only partly within it. That bucket counts for retries but not for first attempts, so the
 * approximation errs on the safe side.
 */
public final class RetryBudget {
    private static final int BUCKETS = 20;
    /**
     * Fraction of the slack in use. The rest covers routers that others do not count as live, for example in a
     * partition.
     */
    private static final double USED_SLACK_FRACTION = 0.5;
    /** Delay before a lower number of live routers applies: half of them may just be partitioned off. */
    private static final long LOWER_COUNT_DELAY_NANOS = 30_000_000_000L;

    private final double ratio;
    private final double slack;
    private final long bucketNanos;
    /** Counts by bucket, as ring buffers with one bucket more than the window has. */
    private final int[] firstSends = new int[BUCKETS + 1];

    private final int[] retries = new int[BUCKETS + 1];
    private long currentBucket = Long.MIN_VALUE;
    private int liveRouters = 1;
    private int lowerLiveRouters = 1;
    private long lowerLiveRoutersSinceNanos;

    /**
     * Creates an empty budget for a single router.
     *
     * @param ratio allowed retries per first attempt
     * @param slack retries of all routers together that are allowed in each window beyond that
     */
    public RetryBudget(double ratio, double windowSeconds, double slack) {
        this.ratio = ratio;
        this.slack = slack;
        this.bucketNanos = Math.max(1, (long) (windowSeconds * 1e9 / BUCKETS));
    }

    /** Sets the number of routers that divide the slack. A higher number applies at once, a lower one after 30 s. */
    public void onLiveRouters(int count, long nowNanos) {
        int liveCount = Math.max(1, count);
        if (liveCount >= liveRouters) {
            liveRouters = liveCount;
        } else if (liveCount != lowerLiveRouters || lowerLiveRouters >= liveRouters) {
            lowerLiveRoutersSinceNanos = nowNanos;
        }
        lowerLiveRouters = liveCount;
    }

    /** Counts a first attempt that was sent. */
    public void onFirstSend(long nowNanos) {
        firstSends[bucket(nowNanos)]++;
    }

    /** Counts a retry that was sent. */
    public void onRetry(long nowNanos) {
        retries[bucket(nowNanos)]++;
    }

    /** Whether one more retry is within the budget. */
    public boolean allows(long nowNanos) {
        int newest = bucket(nowNanos);
        if (lowerLiveRouters < liveRouters && nowNanos - lowerLiveRoutersSinceNanos > LOWER_COUNT_DELAY_NANOS) {
            liveRouters = lowerLiveRouters;
        }
        int oldest = (newest + 1) % firstSends.length;
        int firstSendsInWindow = sum(firstSends) - firstSends[oldest];
        return sum(retries) + 1 <= ratio * firstSendsInWindow + USED_SLACK_FRACTION * slack / liveRouters;
    }

    /** Returns the index of the current bucket, after emptying the buckets that started since the last call. */
    private int bucket(long nowNanos) {
        long number = Math.floorDiv(nowNanos, bucketNanos);
        if (currentBucket == Long.MIN_VALUE || number - currentBucket > BUCKETS) {
            Arrays.fill(firstSends, 0);
            Arrays.fill(retries, 0);
            currentBucket = number;
        }
        while (currentBucket < number) {
            currentBucket++;
            int emptiedBucket = indexOf(currentBucket);
            firstSends[emptiedBucket] = 0;
            retries[emptiedBucket] = 0;
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
