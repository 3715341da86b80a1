package burlarch.simulation.coordination.node;

import java.util.List;
import java.util.Optional;

/** Signals by which a scenario makes one process do something; they bypass the network. */
public final class NodeSignals {
    private NodeSignals() {}

    /** SIGTERM: the process leaves the membership, and is killed soon after. */
    public record Terminate() {}

    /** SIGHUP: the process reads its settings again, which name these seeds. */
    public record ReloadSeeds(List<String> seeds) {}

    /** Closes each connection of the process with this probability. */
    public record BreakConnections(double probability) {}

    /** An instance drains now. */
    public record Drain() {}

    /**
     * The next call of an operator.
     *
     * @param controller address of the controller that is called first; empty for any
     */
    public record Call(Kind kind, Optional<String> controller, RetryTarget retryTarget) {
        /** What is called; scenarios name it by the lower-case name of the constant. */
        public enum Kind {
            /** A valid configuration. */
            PUT,
            /** A change that no state accepts. */
            INVALID,
            /** A change with many items. */
            LARGE,
            /** Newly named weights. */
            WEIGHTS
        }

        /** Where a call is sent again. */
        public enum RetryTarget {
            /** To any controller. */
            ANY,
            /** To the same controller until it responds. */
            SAME
        }
    }
}
