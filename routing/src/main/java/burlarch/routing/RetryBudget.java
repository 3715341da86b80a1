package burlarch.routing;

import java.util.Arrays;

/**
 * One router's share of the fleet's budget of further sends to one service: a part of its own first sends in
 * a sliding window, and its share of the slack. The shares of all live routers sum to less than the whole.
 */
final class RetryBudget {
    private static final int BUCKETS = 20;
    /** Part of the slack in use: what is left covers routers that others don't count as live, as in a cut. */
    private static final double SLACK_USED = 0.5;
    /** How long a fall of the count of live routers is not believed: half of them may be cut off. */
    private static final long FALL_BELIEVED_NANOS = 30_000_000_000L;

    private final double ratio;
    private final double slack;
    private final long bucketNanos;
    /** One more bucket than the window: the oldest lies only partly within it, and counts against us. */
    private final int[] first = new int[BUCKETS + 1];

    private final int[] further = new int[BUCKETS + 1];
    private long current = Long.MIN_VALUE;
    private int live = 1;
    private int lowerLive = 1;
    private long fellNanos;

    RetryBudget(double ratio, double windowSeconds, double slack) {
        this.ratio = ratio;
        this.slack = slack;
        this.bucketNanos = Math.max(1, (long) (windowSeconds * 1e9 / BUCKETS));
    }

    /** How many routers share the slack. */
    void onRouters(int count, long nowNanos) {
        int now = Math.max(1, count);
        if (now >= live) {
            live = now;
        } else if (now != lowerLive || lowerLive >= live) {
            fellNanos = nowNanos;
        }
        lowerLive = now;
    }

    /** A first send of a request. */
    void onFirst(long nowNanos) {
        first[bucket(nowNanos)]++;
    }

    /** A further send. */
    void onFurther(long nowNanos) {
        further[bucket(nowNanos)]++;
    }

    /** Whether one more further send keeps to the budget. */
    boolean allows(long nowNanos) {
        int now = bucket(nowNanos);
        if (lowerLive < live && nowNanos - fellNanos > FALL_BELIEVED_NANOS) {
            live = lowerLive;
        }
        int oldest = (now + 1) % first.length;
        int firsts = sum(first) - first[oldest];
        return sum(further) + 1 <= ratio * firsts + SLACK_USED * slack / live;
    }

    private int bucket(long nowNanos) {
        long number = Math.floorDiv(nowNanos, bucketNanos);
        if (current == Long.MIN_VALUE || number - current > BUCKETS) {
            Arrays.fill(first, 0);
            Arrays.fill(further, 0);
            current = number;
        }
        while (current < number) {
            current++;
            int fresh = (int) Math.floorMod(current, (long) first.length);
            first[fresh] = 0;
            further[fresh] = 0;
        }
        return (int) Math.floorMod(current, (long) first.length);
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }
}
