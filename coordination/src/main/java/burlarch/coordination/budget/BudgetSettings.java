package burlarch.coordination.budget;

/**
 * Durations and bounds of a {@link RouterCountEstimate}.
 *
 * @param windowNanos length of the window over which the whole budget is counted
 * @param contactTimeoutNanos a router without contact to a quorum for this long treats itself as partitioned
 * @param disseminationNanos time within which routers in contact learn that another one arrived or ended
 * @param reserveFraction fraction of the whole budget, 0 to 1, reserved for routers that are new or partitioned
 * @param minReserveRouters smallest number by which the reserve is divided, however few routers were counted
 * @param maxRouters largest number of remembered routers, and the count that a router assumes before any contact
 */
public record BudgetSettings(
        long windowNanos,
        long contactTimeoutNanos,
        long disseminationNanos,
        double reserveFraction,
        int minReserveRouters,
        int maxRouters) {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** @throws IllegalArgumentException if a time is out of range, the fraction not in 0 to 1, or a count below 1 */
    public BudgetSettings {
        if (windowNanos <= 0
                || contactTimeoutNanos <= 0
                || disseminationNanos < 0
                || reserveFraction < 0
                || reserveFraction > 1
                || minReserveRouters < 1
                || maxRouters < 1) {
            throw new IllegalArgumentException(
                    "budget settings invalid: expected times above 0, a fraction from 0 to 1, counts from 1");
        }
    }

    /**
     * Returns the default settings for a window: a fifth of the budget in reserve, and a contact time-out of half the
     * window.
     */
    public static BudgetSettings forWindow(long windowNanos) {
        return new BudgetSettings(windowNanos, windowNanos / 2, 2 * NANOS_PER_SECOND, 0.2, 8, 4_096);
    }

    /**
     * Returns the nanoseconds for which a router that disappeared is still counted, and a new one waits until it is
     * established.
     */
    long retentionNanos() {
        return windowNanos + contactTimeoutNanos + disseminationNanos;
    }
}
