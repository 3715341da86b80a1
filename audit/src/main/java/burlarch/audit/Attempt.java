package burlarch.audit;

/**
 * One attempt as the node saw it, on the clock of {@link Asked}.
 *
 * @param proxy           the vantage it came by; empty where the node can't tell
 * @param firstByteNanos  when its first byte came
 * @param wholeNanos      when its last byte came; 0 where it never did: then it does not count
 * @param endedNanos      when it was over at the node: its answer written, or its connection ended; 0 while
 *                        it is out
 * @param workNanos       the work that it put on the node, in time on a standard core
 * @param bodyDigest      of the answer's body, see {@link Digest}
 */
public record Attempt(
        String id,
        String node,
        String proxy,
        long firstByteNanos,
        long wholeNanos,
        long endedNanos,
        Fate fate,
        long workNanos,
        long bodyDigest)
        implements AuditRecord {
    /** What became of it. */
    public enum Fate {
        SERVED(true),
        MISS(false),
        ERROR(true),
        TURNED_AWAY(false),
        RESET(true),
        /** Its proxy closed the connection. */
        GIVEN_UP(true),
        /** Never answered: the node was hung, vanished or killed. */
        SILENT(true);

        private final boolean mayHaveRun;

        Fate(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }

        /** As far as its proxy can tell. */
        public boolean mayHaveRun() {
            return mayHaveRun;
        }
    }

    boolean whole() {
        return wholeNanos != 0;
    }
}
