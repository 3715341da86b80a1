package burlarch.coordination.registry;

/**
 * The lifecycle state of an instance, as an instance announces it, a controller states it or a router sees it.
 * {@link RegistryEntry} derives the state that a controller states, {@link MergedInstanceView} the one
 * that a router sees.
 */
public enum InstanceState {
    /** It serves requests. */
    READY,
    /** It loads weights and rejects requests until that is done. */
    LOADING,
    /** It shuts down gracefully: no new request may be sent to it, ever. */
    DRAINING,
    /**
     * Only in what a controller states to others: no heartbeat came for the expiry, but this controller may have missed
     * them. It says neither that the instance lives nor that it has failed.
     */
    UNHEARD,
    /** It has left, or no heartbeat came for the expiry at a controller that would have received one. */
    GONE
}
