package burlarch.emulator.server;

/** Where instances write down what they were asked to do. Called on many threads. */
public interface RunBook {
    /** A request begins to run. */
    void ran(String requestId, String instance);

    /** A request came later than a drained instance may get any. */
    void cameAfterDrain(String requestId, String instance);
}
