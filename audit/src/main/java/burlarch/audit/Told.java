package burlarch.audit;

/**
 * A proxy was told of a node: when discovery had written it, on the clock of {@link Asked}.
 *
 * @param startedAtNanos when the node last started; 0 for long ago
 */
public record Told(String proxy, String node, Stage stage, long atNanos, long startedAtNanos) implements AuditRecord {
    /** Where the node stands in its life. */
    public enum Stage {
        SERVING,
        DRAINING,
        GONE
    }
}
