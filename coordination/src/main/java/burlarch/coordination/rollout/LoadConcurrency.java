package burlarch.coordination.rollout;

/** How many engines of a model may load at once: the fewest that are done in time. Times in nanoseconds. */
final class LoadConcurrency {
    private static final double FIRST_FRACTION = 0.29;
    private static final int FIRST_MINIMUM = 2;
    private static final double SMOOTHING = 0.3;

    private double estimateNanos;

    /** A load took that long, from the order to the news that it was done. */
    void onLoaded(long nanos) {
        estimateNanos = estimateNanos == 0 ? nanos : estimateNanos + SMOOTHING * (nanos - estimateNanos);
    }

    /** How long a load takes as far as is known, 0 where nothing is known. */
    long estimateNanos() {
        return (long) estimateNanos;
    }

    /**
     * At most half of the engines, so that the others can serve, until the time is over: from then on those
     * that are behind can't serve anyway.
     *
     * @param engines that have the model
     * @param behind engines that are still to be ordered
     * @param loading for how long those that load have been at it, 0 and more
     * @param leftToAim until all should be done
     * @param leftToEnd until no request may begin on older weights
     */
    int maxConcurrentLoads(int engines, int behind, long[] loading, long leftToAim, long leftToEnd) {
        int all = behind + loading.length;
        if (leftToEnd <= 0) {
            return all;
        }
        int most = Math.max(1, (engines + 1) / 2);
        return Math.min(most, Math.min(all, neededLoads(engines, behind, loading, leftToAim)));
    }

    private int neededLoads(int engines, int behind, long[] loading, long left) {
        long load = estimateNanos();
        for (long age : loading) {
            load = Math.max(load, age);
        }
        if (left < load || left <= 0) {
            return behind + loading.length;
        }
        double work = (double) behind * load;
        for (long age : loading) {
            work += load - age;
        }
        int least = estimateNanos == 0 ? Math.max(FIRST_MINIMUM, (int) Math.ceil(FIRST_FRACTION * engines)) : 1;
        return Math.max(least, (int) Math.ceil(work / left));
    }
}
