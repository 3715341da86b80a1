package burlarch.trace;

/**
 * One request of a trace.
 *
 * @param dueNanos     arrival time since the start of the trace; never less than the previous record's
 * @param requestClass name of the request's class
 * @param tenant       name of the tenant
 * @param key          the requested key; empty if none
 * @param write        whether the request is a write
 * @param timeoutMs    the client's timeout
 * @param costMicros   the client's estimate of the work; 0 if none
 * @param bodyBytes    size of the request body
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
    /** Returns a copy with another arrival time. */
    public TraceRecord at(long nanos) {
        return new TraceRecord(nanos, requestClass, tenant, key, write, timeoutMs, costMicros, bodyBytes);
    }
}
