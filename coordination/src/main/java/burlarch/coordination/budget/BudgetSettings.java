package burlarch.coordination.budget;

/**
 * Bounds of {@link LiveCountEstimate}; times in nanoseconds.
 *
 * @param window the span over which the whole budget is counted
 * @param contactLimit a router that heard from no quorum for this long counts itself as cut off
 * @param spreadTime within which routers in contact learn of one another's coming and going
 * @param reserve part of the whole, 0 to 1, kept for routers that are new or cut off
 * @param unsettledRouters so many of those may share the reserve at least, however few routers were counted
 * @param largestFleet bound on routers kept in mind, and the count of one that heard nothing
 */
public record BudgetSettings(
        long window, long contactLimit, long spreadTime, double reserve, int unsettledRouters, int largestFleet) {
    private static final long SECOND = 1_000_000_000L;

    public BudgetSettings {
        if (window <= 0
                || contactLimit <= 0
                || spreadTime < 0
                || reserve < 0
                || reserve > 1
                || unsettledRouters < 1
                || largestFleet < 1) {
            throw new IllegalArgumentException("budget settings out of bounds");
        }
    }

    /** A fifth in reserve; half a budget's window without contact is too long. */
    public static BudgetSettings forWindow(long window) {
        return new BudgetSettings(window, window / 2, 2 * SECOND, 0.2, 8, 4_096);
    }

    /**
     * How long a router that went out of sight is still counted, and how long a new one waits to be counted.
     */
    long hold() {
        return window + contactLimit + spreadTime;
    }
}
