package burlarch.lab.load;

/**
 * One scheduled request.
 *
 * @param dueNanos due time from the start of the run
 * @param attemptIndex 0 for the first attempt, 1 for the client's retry
 * @param disconnectNanos time after which the client disconnects; 0 for never
 */
record PlannedRequest(
        long dueNanos,
        String id,
        int requestClass,
        int tenant,
        String key,
        boolean write,
        int timeoutMs,
        long costMicros,
        int bodyBytes,
        int attemptIndex,
        long disconnectNanos) {}
