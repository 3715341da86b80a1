package burlarch.audit;

/**
 * The record of one membership update about a node that discovery sent to a proxy. Times are on the clock of
 * {@link ClientRequest}.
 *
 * @param proxy          name of the proxy
 * @param node           id of the node
 * @param stage          the node's lifecycle stage in the update
 * @param atNanos        when discovery had written the update
 * @param startedAtNanos when the node last started; 0 if it has been running since before the run
 */
public record MembershipUpdate(String proxy, String node, Stage stage, long atNanos, long startedAtNanos)
        implements AuditRecord {
    /** Lifecycle stage of a node. */
    public enum Stage {
        SERVING,
        DRAINING,
        GONE
    }
}
