package burlarch.emulator.demo;

import burlarch.emulator.server.ExecutionListener;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What clients and instances saw during a soak. Thread-safe; read after the traffic has ended. */
final class SoakObservations implements ExecutionListener {
    /** A request that an instance received after its drain timeout. */
    record LateRequest(String requestId, String instance, long nanos) {}

    private final Queue<SoakRequest> requests = new ConcurrentLinkedQueue<>();
    private final Map<String, Integer> executions = new ConcurrentHashMap<>();
    private final Queue<LateRequest> lateRequests = new ConcurrentLinkedQueue<>();

    @Override
    public void onExecuted(String requestId, String instance) {
        executions.merge(requestId, 1, Integer::sum);
    }

    @Override
    public void onRequestAfterDrain(String requestId, String instance) {
        lateRequests.add(new LateRequest(requestId, instance, System.nanoTime()));
    }

    void onEnded(SoakRequest request) {
        requests.add(request);
    }

    List<SoakRequest> requests() {
        return new ArrayList<>(requests);
    }

    List<LateRequest> lateRequests() {
        return new ArrayList<>(lateRequests);
    }

    /** Returns how often instances began to execute a request. */
    int executionsOf(String requestId) {
        return executions.getOrDefault(requestId, 0);
    }
}
