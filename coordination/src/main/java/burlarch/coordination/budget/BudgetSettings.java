package burlarch.coordination.budget;

/**
 * Times and bounds of a {@link RouterCountEstimate}.
 *
 * @param windowNanos the time over which the whole budget is counted
 * @param contactTimeoutNanos a router that heard from no quorum for this long counts itself as partitioned
 * @param disseminationNanos within which routers in contact learn of each other's arrival and end
 * @param reserveFraction part of the whole, 0 to 1, for routers that are new or partitioned
 * @param minReserveRouters at least so many of those may divide the reserve, however few routers were counted
 * @param maxRouters bound on the routers remembered, and the count that a router assumes before any contact
 */
public record BudgetSettings(
        long windowNanos,
        long contactTimeoutNanos,
        long disseminationNanos,
        double reserveFraction,
        int minReserveRouters,
        int maxRouters) {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** @throws IllegalArgumentException if a time isn't positive, the fraction not in 0 to 1, or a count below 1 */
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

    /** The usual bounds: a fifth in reserve, and half a window without contact is too long. */
    public static BudgetSettings forWindow(long windowNanos) {
        return new BudgetSettings(windowNanos, windowNanos / 2, 2 * NANOS_PER_SECOND, 0.2, 8, 4_096);
    }

    /** How long a router that disappeared is still counted, and how long a new one waits until it is established. */
    long retentionNanos() {
        return windowNanos + contactTimeoutNanos + disseminationNanos;
    }
}
