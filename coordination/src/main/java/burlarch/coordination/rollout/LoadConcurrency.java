package burlarch.coordination.rollout;

/**
 * The limit on how many engines of one model load at once: the smallest number with which the rollout is done in
 * time.
 *
 * <p>Invariant <em>half keeps serving</em>: at most half of the engines load, rounded up, but for the overdue ones: no
 * request may begin on their weights anyway, so all of them may load.
 */
final class LoadConcurrency {
    /** Fraction of the engines that may load at least while no load has been timed. */
    private static final double FIRST_FRACTION = 0.29;

    private static final int FIRST_MINIMUM = 2;
    /** Weight of the newest load in the moving average. */
    private static final double SMOOTHING = 0.3;

    private double estimateNanos;

    /** Records the duration of a load, from the order until it was known to be done. */
    void onLoaded(long durationNanos) {
        estimateNanos =
                estimateNanos == 0 ? durationNanos : estimateNanos + SMOOTHING * (durationNanos - estimateNanos);
    }

    /** Returns the estimated duration of a load in nanoseconds, 0 before the first one. */
    long estimateNanos() {
        return (long) estimateNanos;
    }

    /**
     * Returns the number of engines that may load now, those already loading included.
     *
     * @param serving number of engines that serve the model
     * @param overdue number of engines that still need an order and on whose weights no request may begin any more
     * @param untilTargetNanos for each engine that still needs an order, the overdue ones included: time until it
     *     should be done, the shortest first; may be negative
     * @param agesNanos how long each loading engine has been loading; not negative
     */
    int maxConcurrentLoads(int serving, int overdue, long[] untilTargetNanos, long[] agesNanos) {
        int loadingOrOverdue = overdue == 0 ? 0 : agesNanos.length + overdue;
        return Math.max(loadingOrOverdue, Math.min(half(serving), neededLoads(serving, untilTargetNanos, agesNanos)));
    }

    /** Returns how many of that many engines may load at once while the others serve. */
    static int half(int serving) {
        return Math.max(1, (serving + 1) / 2);
    }

    /** Returns the smallest number of concurrent loads with which each engine is done in time, the first due first. */
    private int neededLoads(int serving, long[] untilTargetNanos, long[] agesNanos) {
        int minimum = estimateNanos == 0 ? Math.max(FIRST_MINIMUM, (int) Math.ceil(FIRST_FRACTION * serving)) : 1;
        long loadNanos = longestLoadNanos(agesNanos);
        double workNanos = 0;
        for (long ageNanos : agesNanos) {
            workNanos += loadNanos - ageNanos;
        }
        int needed = 0;
        for (int i = 0; i < untilTargetNanos.length; i++) {
            int remaining = agesNanos.length + i + 1;
            workNanos += loadNanos;
            needed = Math.max(
                    needed,
                    Math.min(remaining, neededLoads(remaining, minimum, workNanos, loadNanos, untilTargetNanos[i])));
        }
        return needed;
    }

    private static int neededLoads(int remaining, int minimum, double workNanos, long loadNanos, long leftNanos) {
        if (leftNanos < loadNanos || leftNanos <= 0) {
            return remaining;
        }
        return Math.max(minimum, (int) Math.ceil(workNanos / leftNanos));
    }

    /** Returns the estimate, or the age of a present load if that is longer. */
    private long longestLoadNanos(long[] agesNanos) {
        long longest = estimateNanos();
        for (long ageNanos : agesNanos) {
            longest = Math.max(longest, ageNanos);
        }
        return longest;
    }
}
