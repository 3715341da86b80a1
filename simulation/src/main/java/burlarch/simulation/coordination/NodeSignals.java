package burlarch.simulation.coordination;

import java.util.List;

/** What a scenario has one process do, beside what happens to its machine. */
final class NodeSignals {
    private NodeSignals() {}

    /** SIGTERM: the process says that it goes, and ends soon. */
    record Terminate() {}

    /** SIGHUP: the settings now name these seeds. */
    record ReloadSeeds(List<String> seeds) {}

    /** Each connection breaks with this probability. */
    record BreakConnections(double share) {}

    /** An instance drains now. */
    record Drain() {}

    /**
     * An operator's next call.
     *
     * @param controller address that it goes to first; null for any
     * @param persistent whether it is sent there again until that one answers
     */
    record Call(Kind kind, String controller, boolean persistent) {
        enum Kind {
            PUT,
            INVALID,
            LARGE,
            WEIGHTS
        }
    }
}
