package burlarch.coordination.rollout;

/**
 * The limit on how many engines of one model load at once: the smallest number with which the rollout is done in
 * time.
 *
 * <p>Invariant <em>half keeps serving</em>: before the deadline at most half of the engines load, rounded up. After
 * it, engines that are behind cannot serve anyway, so all may load.
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
     * @param behind number of engines that still need an order
     * @param agesNanos how long each loading engine has been loading; not negative
     * @param untilTargetNanos time until all should be done; may be negative
     * @param untilDeadlineNanos time until no request may begin on older weights; may be negative
     */
    int maxConcurrentLoads(int serving, int behind, long[] agesNanos, long untilTargetNanos, long untilDeadlineNanos) {
        int remaining = behind + agesNanos.length;
        if (untilDeadlineNanos <= 0) {
            return remaining;
        }
        int half = Math.max(1, (serving + 1) / 2);
        return Math.min(half, Math.min(remaining, neededLoads(serving, behind, agesNanos, untilTargetNanos)));
    }

    private int neededLoads(int serving, int behind, long[] agesNanos, long leftNanos) {
        long loadNanos = longestLoadNanos(agesNanos);
        if (leftNanos < loadNanos || leftNanos <= 0) {
            return behind + agesNanos.length;
        }
        double workNanos = (double) behind * loadNanos;
        for (long ageNanos : agesNanos) {
            workNanos += loadNanos - ageNanos;
        }
        int minimum = estimateNanos == 0 ? Math.max(FIRST_MINIMUM, (int) Math.ceil(FIRST_FRACTION * serving)) : 1;
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
