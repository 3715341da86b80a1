package burlarch.emulator.demo;

import burlarch.emulator.server.ExecutionListener;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Record of what clients requested and received, and of what instances executed. Thread-safe; the checks are called
 * after the traffic has ended.
 */
final class RequestLog implements ExecutionListener {
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
    private final Set<String> atMostOnce = ConcurrentHashMap.newKeySet();
    private final Set<String> reportedUnexecuted = ConcurrentHashMap.newKeySet();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger requestsAfterDrain = new AtomicInteger();

    @Override
    public void onExecuted(String requestId, String instance) {
        executions.computeIfAbsent(requestId, id -> new AtomicInteger()).incrementAndGet();
    }

    @Override
    public void onRequestAfterDrain(String requestId, String instance) {
        requestsAfterDrain.incrementAndGet();
    }

    void onRequest() {
        requests.incrementAndGet();
    }

    /** Records that the attempt with this id must be executed at most once. */
    void requireAtMostOnce(String requestId) {
        atMostOnce.add(requestId);
    }

    /** Records that a response stated that this attempt was not executed and will not be. */
    void onReportedUnexecuted(String requestId) {
        reportedUnexecuted.add(requestId);
    }

    void onServed(boolean inTime) {
        served.incrementAndGet();
        if (!inTime) {
            late.incrementAndGet();
        }
    }

    void onFailed() {
        failed.incrementAndGet();
    }

    /** Returns the number of attempts that were executed more than once but must not be. */
    int duplicateExecutions() {
        return (int) atMostOnce.stream().filter(id -> executionsOf(id) > 1).count();
    }

    /** Returns the number of at-most-once attempts that were executed although a response stated the contrary. */
    int executedAfterReport() {
        return (int) reportedUnexecuted.stream()
                .filter(id -> atMostOnce.contains(id) && executionsOf(id) > 0)
                .count();
    }

    private int executionsOf(String id) {
        AtomicInteger count = executions.get(id);
        return count == null ? 0 : count.get();
    }

    int requestCount() {
        return requests.get();
    }

    int servedCount() {
        return served.get();
    }

    int lateCount() {
        return late.get();
    }

    int failedCount() {
        return failed.get();
    }

    int requestsAfterDrain() {
        return requestsAfterDrain.get();
    }
}
