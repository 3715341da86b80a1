package burlarch.router.lifecycle;

/**
 * Schedule of a graceful shutdown: its steps and the requests that are accepted meanwhile. The router reports that
 * it is not ready at once. Then, in this order, it closes each client connection with its next response, rejects
 * every request that could outlive the process, and ends the requests still in flight. All times are milliseconds
 * since the signal. Uses no I/O and no clock.
 *
 * @param closeConnectionsAtMillis from this time on each response is the last one on its connection
 * @param rejectAtMillis from this time on a request is accepted only if its own deadline is before
 *     {@code endAtMillis}
 * @param endAtMillis time at which the requests still in flight are ended and the process exits
 */
public record DrainSchedule(long closeConnectionsAtMillis, long rejectAtMillis, long endAtMillis) {
    /**
     * The load balancer checks readiness once a second and removes the router after the second failed check. If a
     * connection was closed before the first check, its client would usually reconnect to this same router.
     */
    private static final long MAX_CLOSE_MILLIS = 1000;

    private static final long GRACE_TO_CLOSE_DIVISOR = 8;
    /**
     * A request sent more than 3 s after the signal must get its complete response, and the load balancer has
     * removed this router after 2 s. The remaining 0.5 s allow for a delayed delivery of the signal on a busy machine.
     */
    private static final long MAX_REJECT_MILLIS = 2500;

    private static final long GRACE_TO_REJECT_DIVISOR = 2;
    /**
     * Time for a delayed delivery of the signal, for notifying the members, stopping the threads and exiting, even on a
     * machine with a tenth of a core.
     */
    private static final long MAX_EXIT_MILLIS = 1500;

    private static final long GRACE_TO_MIN_EXIT_DIVISOR = 12;
    /** A request may be ended if its instance is still at work in this last part of the grace period. */
    private static final long GRACE_TO_LAST_PART_DIVISOR = 6;
    /** Time needed to write a response at its deadline. */
    private static final long WRITE_MILLIS = 50;

    /**
     * Returns the schedule of a process that is killed {@code graceMillis} after the signal. What an instance has sent
     * by the last sixth of that time is forwarded before the end.
     *
     * @param transitMillis longest time from an instance's event to its arrival at the client
     */
    public static DrainSchedule within(long graceMillis, long transitMillis) {
        long closeConnectionsAtMillis = Math.min(MAX_CLOSE_MILLIS, graceMillis / GRACE_TO_CLOSE_DIVISOR);
        long rejectAtMillis = Math.min(MAX_REJECT_MILLIS, graceMillis / GRACE_TO_REJECT_DIVISOR);
        return new DrainSchedule(
                closeConnectionsAtMillis, rejectAtMillis, graceMillis - exitMillis(graceMillis, transitMillis));
    }

    private static long exitMillis(long graceMillis, long transitMillis) {
        long afterLastEvents = graceMillis / GRACE_TO_LAST_PART_DIVISOR - transitMillis;
        return Math.min(MAX_EXIT_MILLIS, Math.max(graceMillis / GRACE_TO_MIN_EXIT_DIVISOR, afterLastEvents));
    }

    /** Whether a response that begins now must be the last one on its connection. */
    boolean closesConnections(long elapsedMillis) {
        return elapsedMillis >= closeConnectionsAtMillis;
    }

    /**
     * Whether a request that is complete now is accepted.
     *
     * @param remainingMillis time until the deadline of the request, when it ends at the latest
     */
    boolean accepts(long elapsedMillis, long remainingMillis) {
        return elapsedMillis < rejectAtMillis || elapsedMillis + remainingMillis <= endAtMillis - WRITE_MILLIS;
    }

    /** Whether the requests still in flight must be ended. */
    boolean isOver(long elapsedMillis) {
        return elapsedMillis >= endAtMillis;
    }
}
