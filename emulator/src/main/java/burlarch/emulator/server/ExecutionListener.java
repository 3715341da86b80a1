package burlarch.emulator.server;

/** Listener for executions of requests by emulated instances; called on many threads. */
public interface ExecutionListener {
    /** Called when an instance begins to execute a request. */
    void onExecuted(String requestId, String instance);

    /** Called when a request arrives after the drain timeout of its instance. */
    void onRequestAfterDrain(String requestId, String instance);
}
