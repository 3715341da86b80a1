package burlarch.coordination.budget;

/**
 * Bounds of {@link RouterCountEstimate}; times in nanoseconds.
 *
 * @param windowNanos the span over which the whole budget is counted
 * @param contactTimeoutNanos a router that heard from no quorum for this long counts itself as cut off
 * @param disseminationNanos within which routers in contact learn of one another's coming and going
 * @param reserveFraction part of the whole, 0 to 1, kept for routers that are new or cut off
 * @param minReserveRouters so many of those may share the reserve at least, however few routers were counted
 * @param maxRouters bound on routers kept in mind, and the count of one that heard nothing
 */
public record BudgetSettings(
        long windowNanos,
        long contactTimeoutNanos,
        long disseminationNanos,
        double reserveFraction,
        int minReserveRouters,
        int maxRouters) {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    public BudgetSettings {
        if (windowNanos <= 0
                || contactTimeoutNanos <= 0
                || disseminationNanos < 0
                || reserveFraction < 0
                || reserveFraction > 1
                || minReserveRouters < 1
                || maxRouters < 1) {
            throw new IllegalArgumentException("budget settings out of bounds");
        }
    }

    /** A fifth in reserve; half a budget's window without contact is too long. */
    public static BudgetSettings forWindow(long window) {
        return new BudgetSettings(window, window / 2, 2 * NANOS_PER_SECOND, 0.2, 8, 4_096);
    }

    /**
     * How long a router that went out of sight is still counted, and how long a new one waits to be counted.
     */
    long retentionNanos() {
        return windowNanos + contactTimeoutNanos + disseminationNanos;
    }
}
