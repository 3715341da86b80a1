package burlarch.router.lifecycle;

/**
 * The steps of a graceful shutdown and the requests that are accepted meanwhile. The router stops being ready
 * at once. Then, in this order, it closes the connection of each client with the next response, rejects every
 * request that could outlive the process, and ends what still runs. All times are milliseconds since the
 * signal. No I/O and no clock.
 *
 * @param closeConnectionsAtMillis from here on each response is the last on its connection
 * @param rejectAtMillis from here on only requests are accepted whose own deadline is before
 *     {@code endAtMillis}
 * @param endAtMillis what still runs is ended here, and the process with it
 */
public record DrainSchedule(long closeConnectionsAtMillis, long rejectAtMillis, long endAtMillis) {
    /**
     * The load balancer checks readiness once a second and removes the router after the second failed check. A
     * connection closed before the first check would mostly be opened again to this same router.
     */
    private static final long MAX_CLOSE_MILLIS = 1000;

    private static final long CLOSE_DIVISOR = 8;
    /**
     * A request sent more than 3 s after the signal must get its complete response, and the load balancer has
     * removed this router after 2 s. The rest allows for a signal that a busy machine delivers late.
     */
    private static final long MAX_REJECT_MILLIS = 2500;

    private static final long REJECT_DIVISOR = 2;
    /** Time to notify the members, to stop the threads and to exit, also on a busy machine. */
    private static final long MAX_EXIT_MILLIS = 1500;

    private static final long EXIT_DIVISOR = 4;
    /** A response at its deadline needs this long to be written. */
    private static final long WRITE_MILLIS = 50;

    /** The schedule of a process that is killed {@code graceMillis} after the signal. */
    public static DrainSchedule within(long graceMillis) {
        long closeConnectionsAtMillis = Math.min(MAX_CLOSE_MILLIS, graceMillis / CLOSE_DIVISOR);
        long rejectAtMillis = Math.min(MAX_REJECT_MILLIS, graceMillis / REJECT_DIVISOR);
        long exitMillis = Math.min(MAX_EXIT_MILLIS, graceMillis / EXIT_DIVISOR);
        return new DrainSchedule(closeConnectionsAtMillis, rejectAtMillis, graceMillis - exitMillis);
    }

    /** Whether a response that begins now must be the last on its connection. */
    boolean closesConnections(long elapsedMillis) {
        return elapsedMillis >= closeConnectionsAtMillis;
    }

    /**
     * Whether a request that is complete now is accepted.
     *
     * @param remainingMillis until its own deadline, when it ends in any case
     */
    boolean accepts(long elapsedMillis, long remainingMillis) {
        return elapsedMillis < rejectAtMillis || elapsedMillis + remainingMillis <= endAtMillis - WRITE_MILLIS;
    }

    /** Whether requests that are still in flight are to be ended. */
    boolean isOver(long elapsedMillis) {
        return elapsedMillis >= endAtMillis;
    }
}
