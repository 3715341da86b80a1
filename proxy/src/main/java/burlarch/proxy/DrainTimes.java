package burlarch.proxy;

/**
 * What a drain does when, in milliseconds after SIGTERM. The last answers have to be out before the platform
 * kills, and a loop that is behind gives them late: more is kept for that than it was ever seen to be.
 *
 * @param closeListenersMs from when no more connections are taken
 * @param endConnectionsMs from when each last answer ends its connection
 * @param answeredMs by when each request has its answer
 * @param killMs the soonest that the platform may kill
 */
record DrainTimes(long closeListenersMs, long endConnectionsMs, long answeredMs, long killMs) {
    /** After SIGTERM, connections come for 0.4 s more. */
    private static final long ACCEPT_ON_MS = 450;
    /** The platform kills no sooner than the longest deadline, of 3 s at most, and 0.7 s after SIGTERM. */
    private static final long KILL_AFTER_MS = 700;

    private static final long LONGEST_DEADLINE_MS = 3000;
    /** Loops at half a core of a busy machine were up to 214 ms behind, at the end of a release. */
    private static final long ANSWERED_BEFORE_MS = 250;
    /** Before the last answers are due, the last requests are in. */
    private static final long ASKED_BEFORE_MS = 150;

    /** @param longestMs the longest time that a client gives a request */
    static DrainTimes of(long longestMs) {
        long killMs = KILL_AFTER_MS + Math.min(LONGEST_DEADLINE_MS, longestMs);
        long answeredMs = killMs - ANSWERED_BEFORE_MS;
        return new DrainTimes(ACCEPT_ON_MS, Math.max(ACCEPT_ON_MS, answeredMs - ASKED_BEFORE_MS), answeredMs, killMs);
    }
}
