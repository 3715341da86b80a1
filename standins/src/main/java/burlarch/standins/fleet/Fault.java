package burlarch.standins.fleet;

import java.util.List;

/**
 * A fault to inject, or the end of one.
 *
 * @param kind    what happens
 * @param targets ids of the nodes concerned; empty for faults of discovery
 * @param amount  slowdown factor, fraction of requests or milliseconds, depending on the kind; otherwise 0
 */
public record Fault(Kind kind, List<String> targets, double amount) {
    /**
     * A fault at a point of the script.
     *
     * @param atNanos time since the start of the script
     */
    public record Scheduled(long atNanos, Fault fault) {}

    /** Kinds of faults, and their ends. */
    public enum Kind {
        /** The node processes requests slower by the factor {@code amount}. */
        SLOW(true),
        /** The node accepts connections and reads requests, but does not answer. */
        HUNG(true),
        /** The process is suspended: requests make no progress, and continue where they were when it resumes. */
        PAUSE(true),
        /** The node resets the connection on the fraction {@code amount} of its requests. */
        RESET(true),
        /** The node refuses new connections and resets open ones. */
        REFUSE(true),
        /** The process dies and its connections are reset. Discovery notices after a delay. */
        KILL(true),
        /** The machine becomes unreachable: open connections stay open without data, new ones are never accepted. */
        VANISH(true),
        /** The node finishes its requests and rejects new ones; discovery announces it. */
        DRAIN(true),
        /** The node stops, as after a drain; discovery announces it. */
        LEAVE(true),
        /** The node starts again, cold and empty, at its old addresses. */
        START(true),
        /** The node starts again, cold and empty, at new addresses. */
        MOVE(true),
        /** Ends SLOW, HUNG, PAUSE, RESET, REFUSE and VANISH. */
        HEAL(true),
        /** Discovery delays all its answers and updates by {@code amount} milliseconds. */
        DISCOVERY_LATE(false),
        /** Discovery accepts calls and sends nothing, not even blank lines. */
        DISCOVERY_SILENT(false),
        /** Discovery serves an empty list. */
        DISCOVERY_EMPTY(false),
        /** Discovery is down: watches are closed and connections refused. */
        DISCOVERY_DOWN(false),
        /** Ends all faults of discovery. */
        DISCOVERY_HEAL(false);

        private final boolean concernsNodes;

        Kind(boolean concernsNodes) {
            this.concernsNodes = concernsNodes;
        }

        /** Whether the fault concerns nodes rather than discovery. */
        public boolean concernsNodes() {
            return concernsNodes;
        }

        /** The name in script files and at the control server. */
        public String configName() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    @Override
    public String toString() {
        String text = kind.configName() + (amount == 0 ? "" : " " + amount);
        return targets.isEmpty()
                ? text
                : text + " " + (targets.size() > 4 ? targets.size() + " nodes" : String.join(" ", targets));
    }
}
