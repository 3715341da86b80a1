package burlarch.router;

/**
 * When a router that was told to end does what, and which requests it still accepts. It stops being ready at
 * once; then, in this order, it closes each client's connection with the next answer, accepts no request that
 * could outlast it, and ends what still runs. All times are milliseconds since the signal. No I/O and no
 * clock.
 *
 * @param closeConnectionsAtMillis from here on each answer is the last of its connection
 * @param rejectAtMillis from here on only requests are accepted whose own time is over before {@code endAtMillis}
 * @param endAtMillis what still runs is ended here, and the process with it
 */
record DrainSchedule(long closeConnectionsAtMillis, long rejectAtMillis, long endAtMillis) {
    /**
     * The load balancer asks each second whether this router is ready and takes it out at the second refusal.
     * A connection closed before the first question would mostly be opened again right here.
     */
    private static final long MOST_CLOSE_MILLIS = 1000;

    private static final long CLOSE_DIVISOR = 8;
    /**
     * A request sent over 3 s after the signal is owed its whole answer, and the load balancer has taken this
     * router out after 2 s. The rest is for a signal that a busy machine delivers late.
     */
    private static final long MOST_REFUSE_MILLIS = 2500;

    private static final long REFUSE_DIVISOR = 2;
    /** Time to tell the members, to stop the threads and to end, also on a machine that is short of time. */
    private static final long MOST_EXIT_MILLIS = 1500;

    private static final long EXIT_DIVISOR = 4;
    /** An answer at its deadline needs this long to be written. */
    private static final long WRITE_MILLIS = 50;

    /** The schedule for a process that is killed {@code graceMillis} after the signal. */
    static DrainSchedule within(long graceMillis) {
        long closeConnectionsAt = Math.min(MOST_CLOSE_MILLIS, graceMillis / CLOSE_DIVISOR);
        long refuseAt = Math.min(MOST_REFUSE_MILLIS, graceMillis / REFUSE_DIVISOR);
        long exit = Math.min(MOST_EXIT_MILLIS, graceMillis / EXIT_DIVISOR);
        return new DrainSchedule(closeConnectionsAt, refuseAt, graceMillis - exit);
    }

    /** Whether an answer that begins now is to be the last of its connection. */
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

    /** Whether what still runs is to be ended. */
    boolean isOver(long elapsedMillis) {
        return elapsedMillis >= endAtMillis;
    }
}
