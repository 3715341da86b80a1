package burlarch.proxy;

/**
 * Schedule of a drain, in milliseconds after SIGTERM. The last responses must be sent before the platform kills
 * the process, and a delayed event loop sends them late; the margin before the kill exceeds the largest delay
 * seen.
 *
 * @param closeListenersMs when the listening sockets are closed
 * @param endConnectionsMs from when on a connection is closed after its last response
 * @param answeredMs deadline for answering all requests
 * @param killMs earliest time at which the platform may kill the process
 */
record DrainTimes(long closeListenersMs, long endConnectionsMs, long answeredMs, long killMs) {
    /** New connections keep arriving for 0.4 s after SIGTERM. */
    private static final long ACCEPT_MS = 450;
    /** The platform kills the process 0.7 s plus the longest request timeout (at most 3 s) after SIGTERM, or later. */
    private static final long KILL_DELAY_MS = 700;

    private static final long MAX_TIMEOUT_MS = 3000;
    /**
     * Time between the answer deadline and the kill. Event loops with half a core on a busy machine were delayed
     * by up to 214 ms at the end of a rolling release.
     */
    private static final long ANSWER_TO_KILL_MARGIN_MS = 250;
    /** Time between the arrival of the last requests and the answer deadline. */
    private static final long LAST_REQUEST_MARGIN_MS = 150;

    /** @param longestTimeoutMs the longest timeout that a client has given a request */
    static DrainTimes of(long longestTimeoutMs) {
        long killMs = KILL_DELAY_MS + Math.min(MAX_TIMEOUT_MS, longestTimeoutMs);
        long answeredMs = killMs - ANSWER_TO_KILL_MARGIN_MS;
        return new DrainTimes(ACCEPT_MS, Math.max(ACCEPT_MS, answeredMs - LAST_REQUEST_MARGIN_MS), answeredMs, killMs);
    }
}
