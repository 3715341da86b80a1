package burlarch.standins.fleet;

/** The faults in effect at a node. Confined to the node's event loop. */
final class NodeCondition {
    /** How the node treats connections and requests. */
    enum Mode {
        /** Works normally. */
        UP,
        /** Reads requests and does not answer. */
        HUNG,
        /** The process is suspended. */
        PAUSED,
        /** Refuses connections. */
        REFUSING,
        /** The process has ended. */
        DEAD,
        /** The machine is unreachable. */
        VANISHED
    }

    Mode mode = Mode.UP;
    boolean draining;
    /** Fraction of requests on which the node resets the connection, from 0 to 1. */
    double resetShare;

    boolean isUp() {
        return mode == Mode.UP;
    }

    /** Clears all faults, as a process that has just started. */
    void clear() {
        mode = Mode.UP;
        draining = false;
        resetShare = 0;
    }
}
