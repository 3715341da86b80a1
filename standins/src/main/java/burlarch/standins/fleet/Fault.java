package burlarch.standins.fleet;

import java.util.List;

/**
 * Something that goes wrong, or right again.
 *
 * @param targets the nodes that it is for; empty for discovery's
 * @param amount  times slower, share of requests, or milliseconds: as its kind says
 */
public record Fault(Kind kind, List<String> targets, double amount) {
    /** @param atNanos from the start of the script */
    public record Timed(long atNanos, Fault fault) {}

    /** What can happen. */
    public enum Kind {
        /** So many times slower. */
        SLOW(true),
        /** Accepts and reads, and says nothing. */
        HUNG(true),
        /** Its process stands still: what it has makes no progress, and all goes on where it was later. */
        PAUSE(true),
        /** Resets that share of its requests. */
        RESET(true),
        /** Refuses connections and ends those it has. */
        REFUSE(true),
        /** Its process dies: connections reset. Discovery notices later. */
        KILL(true),
        /** Its machine is cut off: open connections stay open and silent, new ones never come up. */
        VANISH(true),
        /** Finishes what it has and takes nothing new; discovery says so soon. */
        DRAIN(true),
        /** Its end after a drain: it goes, and discovery says so soon. */
        LEAVE(true),
        /** Starts again, cold and empty, at its address. */
        START(true),
        /** Starts again, cold and empty, at new addresses. */
        MOVE(true),
        /** Undoes SLOW, HUNG, PAUSE, RESET, REFUSE and VANISH. */
        HEAL(true),
        /** Discovery tells everything so many milliseconds later. */
        DISCOVERY_LATE(false),
        /** Discovery accepts and says nothing, not even blank lines. */
        DISCOVERY_SILENT(false),
        /** Discovery lists nothing. */
        DISCOVERY_EMPTY(false),
        /** Discovery is down: watches end, connections are refused. */
        DISCOVERY_DOWN(false),
        DISCOVERY_HEAL(false);

        private final boolean ofNodes;

        Kind(boolean ofNodes) {
            this.ofNodes = ofNodes;
        }

        public boolean ofNodes() {
            return ofNodes;
        }

        /** As files and the control port write it. */
        public String word() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    @Override
    public String toString() {
        String what = kind.word() + (amount == 0 ? "" : " " + amount);
        return targets.isEmpty()
                ? what
                : what + " " + (targets.size() > 4 ? targets.size() + " nodes" : String.join(" ", targets));
    }
}
