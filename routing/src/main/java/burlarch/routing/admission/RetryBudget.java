package burlarch.routing.admission;

import java.util.Arrays;

/**
 * One router's share of the fleet's budget of further sends to one service: a part of its own first sends in
 * a sliding window, and its share of the slack. The shares of all live routers sum to less than the whole.
 */
public final class RetryBudget {
    private static final int BUCKETS = 20;
    /** Part of the slack in use: what is left covers routers that others don't count as live, as in a cut. */
    private static final double USED_SLACK_FRACTION = 0.5;
    /** How long a fall of the count of live routers is not believed: half of them may be cut off. */
    private static final long LOWER_COUNT_DELAY_NANOS = 30_000_000_000L;

    private final double ratio;
    private final double slack;
    private final long bucketNanos;
    /** One more bucket than the window: the oldest lies only partly within it, and counts against us. */
    private final int[] firstSends = new int[BUCKETS + 1];

    private final int[] retries = new int[BUCKETS + 1];
    private long currentBucket = Long.MIN_VALUE;
    private int liveRouters = 1;
    private int lowerLiveRouters = 1;
    private long lowerSinceNanos;

    public RetryBudget(double ratio, double windowSeconds, double slack) {
        this.ratio = ratio;
        this.slack = slack;
        this.bucketNanos = Math.max(1, (long) (windowSeconds * 1e9 / BUCKETS));
    }

    /** How many routers share the slack. */
    public void onLiveRouters(int count, long nowNanos) {
        int now = Math.max(1, count);
        if (now >= liveRouters) {
            liveRouters = now;
        } else if (now != lowerLiveRouters || lowerLiveRouters >= liveRouters) {
            lowerSinceNanos = nowNanos;
        }
        lowerLiveRouters = now;
    }

    /** A first send of a request. */
    public void onFirstSend(long nowNanos) {
        firstSends[bucket(nowNanos)]++;
    }

    /** A further send. */
    public void onRetry(long nowNanos) {
        retries[bucket(nowNanos)]++;
    }

    /** Whether one more further send keeps to the budget. */
    public boolean allows(long nowNanos) {
        int now = bucket(nowNanos);
        if (lowerLiveRouters < liveRouters && nowNanos - lowerSinceNanos > LOWER_COUNT_DELAY_NANOS) {
            liveRouters = lowerLiveRouters;
        }
        int oldest = (now + 1) % firstSends.length;
        int firsts = sum(firstSends) - firstSends[oldest];
        return sum(retries) + 1 <= ratio * firsts + USED_SLACK_FRACTION * slack / liveRouters;
    }

    private int bucket(long nowNanos) {
        long number = Math.floorDiv(nowNanos, bucketNanos);
        if (currentBucket == Long.MIN_VALUE || number - currentBucket > BUCKETS) {
            Arrays.fill(firstSends, 0);
            Arrays.fill(retries, 0);
            currentBucket = number;
        }
        while (currentBucket < number) {
            currentBucket++;
            int fresh = (int) Math.floorMod(currentBucket, (long) firstSends.length);
            firstSends[fresh] = 0;
            retries[fresh] = 0;
        }
        return (int) Math.floorMod(currentBucket, (long) firstSends.length);
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }
}
