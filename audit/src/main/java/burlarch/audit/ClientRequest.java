package burlarch.audit;

/**
 * The record of one request as its client saw it. Times are nanoseconds of the machine's monotonic clock, which
 * all parties on one machine share; 0 means that the event did not happen.
 *
 * @param id           the request's unique id
 * @param proxy        name of the proxy that the request was sent to
 * @param requestClass name of the request's class
 * @param write        whether the request is a write
 * @param sentNanos    when the request's last byte was written; 0 if it never was: then no response is required
 * @param timeoutNanos how long the client waits for a response
 * @param endedNanos   when the response's last byte came, or when the client learned that none will come
 * @param end          how the request ended for its client
 * @param status       HTTP status of the response; 0 without a response
 * @param bodyDigest   {@link Digest} of the response's body
 * @param answers      number of responses received; more than one violates {@link Breach.Rule#ONE_ANSWER}
 */
public record ClientRequest(
        String id,
        String proxy,
        String requestClass,
        boolean write,
        long sentNanos,
        long timeoutNanos,
        long endedNanos,
        End end,
        int status,
        long bodyDigest,
        int answers)
        implements AuditRecord {
    /** How the request ended for its client. */
    public enum End {
        /** Response with status 200. */
        SERVED,
        /** Response with status 429 or 503: the client may safely retry. */
        REFUSED,
        /** Response with any other status. */
        FAILED,
        /** The connection ended before a complete response. */
        LOST,
        /**
         * The keep-alive connection was closed before the first byte of a response, and the request could not
         * be sent again on another one. The proxy had not accepted it, unless a node received an attempt.
         */
        CROSSED,
        /** No response came while the client waited, which is longer than its timeout. */
        UNANSWERED,
        /** The client closed the connection first, as its load plan says. */
        LEFT
    }

    /** Whether the proxy sent a final response. */
    boolean hasResponse() {
        return end == End.SERVED || end == End.REFUSED || end == End.FAILED;
    }
}
