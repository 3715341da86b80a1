package burlarch.audit;

/**
 * One request as its client saw it. Times are nanoseconds of the machine's monotonic clock, which all parties
 * of one machine share; 0 stands for what did not happen.
 *
 * @param proxy       the name of the proxy it was sent to
 * @param sentNanos   when its last byte was written; 0 where it never was, and nothing is owed
 * @param endedNanos  the answer's last byte, or when the client saw that there will be none
 * @param status      of the answer, 0 without one
 * @param bodyDigest  of the answer's body, see {@link Digest}
 * @param answers     how many answers came for it: more than one is a breach
 */
public record Asked(
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
    /** How it ended for its client. */
    public enum End {
        /** 200. */
        SERVED,
        /** 429 or 503: asking again is harmless. */
        REFUSED,
        /** Any other status. */
        FAILED,
        /** The connection ended without a whole answer. */
        LOST,
        /**
         * The kept connection that it was written to was closed without a byte of an answer, and no other
         * could be had to send it once more: the proxy had not taken it, unless a node has seen it.
         */
        CROSSED,
        /** Nothing came while the client listened, which is longer than its timeout. */
        UNANSWERED,
        /** The client closed first, as it had planned to. */
        LEFT
    }

    /** Whether the proxy gave it a final answer. */
    boolean answered() {
        return end == End.SERVED || end == End.REFUSED || end == End.FAILED;
    }
}
