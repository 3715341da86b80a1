package burlarch.coordination.rollout;

/**
 * How many engines of one model may load at once: the fewest with which the rollout is done in time.
 *
 * <p>Invariant <em>half keeps serving</em>: before the deadline at most half of the engines load, rounded up. After it
 * those that are behind can't serve anyway, so all may load.
 */
final class LoadConcurrency {
    /** While no load was timed, at least this part of the engines loads. */
    private static final double FIRST_FRACTION = 0.29;

    private static final int FIRST_MINIMUM = 2;
    /** Weight of the newest load in the estimate. */
    private static final double SMOOTHING = 0.3;

    private double estimateNanos;

    /** A load took that long, from the order until it was known to be done. */
    void onLoaded(long nanos) {
        estimateNanos = estimateNanos == 0 ? nanos : estimateNanos + SMOOTHING * (nanos - estimateNanos);
    }

    /** How long a load takes, 0 before the first one. */
    long estimateNanos() {
        return (long) estimateNanos;
    }

    /**
     * How many engines may load now, those that do included.
     *
     * @param serving engines that have the model
     * @param behind engines that are still to be ordered
     * @param agesNanos how long each of those that load has been at it, 0 and more
     * @param untilTargetNanos until all should be done; may be negative
     * @param untilDeadlineNanos until no request may begin on older weights; may be negative
     */
    int maxConcurrentLoads(int serving, int behind, long[] agesNanos, long untilTargetNanos, long untilDeadlineNanos) {
        int all = behind + agesNanos.length;
        if (untilDeadlineNanos <= 0) {
            return all;
        }
        int half = Math.max(1, (serving + 1) / 2);
        return Math.min(half, Math.min(all, neededLoads(serving, behind, agesNanos, untilTargetNanos)));
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

    /** The estimate, or the age of a load that has taken longer. */
    private long longestLoadNanos(long[] agesNanos) {
        long longest = estimateNanos();
        for (long ageNanos : agesNanos) {
            longest = Math.max(longest, ageNanos);
        }
        return longest;
    }
}
