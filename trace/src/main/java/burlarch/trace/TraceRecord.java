package burlarch.trace;

/**
 * One request of a trace.
 *
 * @param dueNanos   when it came, from the trace's start; never less than the record's before it
 * @param key        what it was about; empty for nothing
 * @param timeoutMs  what its client waits
 * @param costMicros the client's guess at the work; 0 for none
 * @param bodyBytes  of its body
 */
public record TraceRecord(
        long dueNanos,
        String requestClass,
        String tenant,
        String key,
        boolean write,
        int timeoutMs,
        long costMicros,
        int bodyBytes) {
    public TraceRecord at(long nanos) {
        return new TraceRecord(nanos, requestClass, tenant, key, write, timeoutMs, costMicros, bodyBytes);
    }
}
