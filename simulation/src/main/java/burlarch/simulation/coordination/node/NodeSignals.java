package burlarch.simulation.coordination.node;

import java.util.List;
import java.util.Optional;

/** Signals from a scenario to one process; they bypass the network. */
public final class NodeSignals {
    private NodeSignals() {}

    /** SIGTERM: the process leaves the membership, and is killed soon after. */
    public record Terminate() {}

    /** SIGHUP: the process reloads its settings, which name these seeds. */
    public record ReloadSeeds(List<String> seeds) {}

    /** Closes each connection of the process with this probability. */
    public record BreakConnections(double probability) {}

    /** Makes an instance start to drain. */
    public record Drain() {}

    /**
     * Sets the next call of an operator.
     *
     * @param controller address of the controller that is called first; empty for any
     */
    public record Call(Kind kind, Optional<String> controller, RetryTarget retryTarget) {
        /** Kind of the call; scenarios name it by the lower-case name of the constant. */
        public enum Kind {
            /** A valid configuration. */
            PUT,
            /** A change that is rejected in every state. */
            INVALID,
            /** A change with many items. */
            LARGE,
            /** A new weights version of a model. */
            WEIGHTS
        }

        /** Controllers at which a call is retried. */
        public enum RetryTarget {
            /** To any controller. */
            ANY,
            /** To the same controller until it responds. */
            SAME
        }
    }
}
