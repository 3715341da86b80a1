package burlarch.audit;

/**
 * The record of one attempt of a request as the node saw it. Times are on the clock of {@link ClientRequest}.
 *
 * @param id             the request's id
 * @param node           id of the node that received the attempt
 * @param proxy          name of the proxy that sent it; empty if the node cannot tell
 * @param firstByteNanos when the first byte was received
 * @param lastByteNanos  when the last byte was received; 0 if it never was: then the attempt does not count
 * @param endedNanos     when the response was written or the connection ended; 0 while the attempt is in flight
 * @param fate           how the attempt ended
 * @param workNanos      work that the attempt put on the node, in nanoseconds on a standard core
 * @param bodyDigest     {@link Digest} of the response's body
 */
public record Attempt(
        String id,
        String node,
        String proxy,
        long firstByteNanos,
        long lastByteNanos,
        long endedNanos,
        Fate fate,
        long workNanos,
        long bodyDigest)
        implements AuditRecord {
    /** How an attempt ended at its node. */
    public enum Fate {
        /** Response with the value. */
        SERVED(true),
        /** The cache did not hold the key. */
        MISS(false),
        /** Error response. */
        ERROR(true),
        /** Rejected before execution. */
        TURNED_AWAY(false),
        /** The node reset the connection. */
        RESET(true),
        /** The proxy closed the connection before a response. */
        GIVEN_UP(true),
        /** Never answered: the node was hung, unreachable or killed. */
        SILENT(true);

        private final boolean mayHaveExecuted;

        Fate(boolean mayHaveExecuted) {
            this.mayHaveExecuted = mayHaveExecuted;
        }

        /** Whether the request may have been executed, as far as the proxy can tell. */
        public boolean mayHaveExecuted() {
            return mayHaveExecuted;
        }
    }

    /** Whether the node received the complete request. */
    boolean isComplete() {
        return lastByteNanos != 0;
    }
}
