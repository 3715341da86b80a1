package burlarch.lab.load;

/**
 * One request that is to be sent.
 *
 * @param dueNanos   from the start of the run
 * @param tryNumber  0 for the first, 1 for the client's retry
 * @param leaveNanos after how long its client leaves; 0 for one that stays
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
        int tryNumber,
        long leaveNanos) {}
