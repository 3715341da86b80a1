package burlarch.audit;

/**
 * A proxy's process, on the clock of {@link Asked}: what it held when it was killed is nobody's fault.
 *
 * @param dyingNanos when it was killed: from then on what it holds is lost; 0 while it runs
 * @param endedNanos when it was seen to have ended; 0 while it runs
 */
public record Ran(String proxy, long startedNanos, long dyingNanos, long endedNanos) implements AuditRecord {
    /** One whose end took no time. */
    public Ran(String proxy, long startedNanos, long endedNanos) {
        this(proxy, startedNanos, endedNanos, endedNanos);
    }
}
