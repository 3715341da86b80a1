package burlarch.coordination.registry;

/** Where an instance stands in its life. */
public enum InstanceState {
    /** Takes requests. */
    READY,
    /** Loads weights: it turns requests away until it is done. */
    LOADING,
    /** Leaves: no new request may be sent to it. */
    DRAINING,
    /** Has left, or was not heard of for too long. */
    GONE
}
