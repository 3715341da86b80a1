package burlarch.audit;

/**
 * The record of one run of a proxy process. Requests that the proxy held when it was killed are excused from
 * {@link Breach.Rule#ONE_ANSWER}. Times are on the clock of {@link ClientRequest}.
 *
 * @param proxy        name of the proxy
 * @param startedNanos when the process was started
 * @param killedNanos  when the process was killed: from then on its requests may be lost; 0 while it runs
 * @param endedNanos   when the process was seen to have ended; 0 while it runs
 */
public record ProxyRun(String proxy, long startedNanos, long killedNanos, long endedNanos) implements AuditRecord {
    /** Creates the record of a process that ended at the moment it was killed. */
    public ProxyRun(String proxy, long startedNanos, long endedNanos) {
        this(proxy, startedNanos, endedNanos, endedNanos);
    }
}
