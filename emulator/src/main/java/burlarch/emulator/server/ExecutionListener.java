package burlarch.emulator.server;

/** Is notified of executions by emulated instances, on many threads. */
public interface ExecutionListener {
    /** An instance begins to execute a request. */
    void onExecuted(String requestId, String instance);

    /** A request arrived after the drain timeout of its instance. */
    void onRequestAfterDrain(String requestId, String instance);
}
