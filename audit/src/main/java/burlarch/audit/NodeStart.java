package burlarch.audit;

/**
 * The record of a cold start of a node. Times are on the clock of {@link ClientRequest}.
 *
 * @param node      the node's id
 * @param atNanos   when it started
 * @param capacity  its capacity when warm, in standard cores
 * @param coldShare fraction of {@code capacity} available at the start
 * @param coldNanos time over which the capacity rises linearly to {@code capacity}
 */
public record NodeStart(String node, long atNanos, double capacity, double coldShare, long coldNanos)
        implements AuditRecord {
    /** Returns the node's capacity at a time, in standard cores. */
    double capacityAt(long nanos) {
        double warmFraction = Math.max(0, Math.min(1, (nanos - atNanos) / (double) coldNanos));
        return capacity * (coldShare + (1 - coldShare) * warmFraction);
    }
}
