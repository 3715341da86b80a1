package burlarch.standins.fleet;

/** Whether a node does its work, and what it does instead. Confined to the node's loop. */
final class NodeCondition {
    /** How it treats connections and requests. */
    enum Mode {
        UP,
        HUNG,
        PAUSED,
        REFUSING,
        DEAD,
        VANISHED
    }

    Mode mode = Mode.UP;
    boolean draining;
    /** The share of requests that it answers with a reset of the connection. */
    double resetShare;

    boolean isUp() {
        return mode == Mode.UP;
    }

    /** As a process that has just started. */
    void restarted() {
        mode = Mode.UP;
        draining = false;
        resetShare = 0;
    }
}
