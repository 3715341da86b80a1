package burlarch.coordination.registry;

/**
 * The lifecycle state of an instance, as the instance announces it, a controller publishes it or a router sees it.
 * {@link RegistryEntry} derives the state that a controller publishes, {@link MergedInstanceView} the one that a
 * router sees.
 */
public enum InstanceState {
    /** It serves requests. */
    READY,
    /** It loads weights and rejects requests until that is done. */
    LOADING,
    /** It shuts down gracefully: no new request may be sent to it any more. */
    DRAINING,
    /**
     * Only published by controllers: no heartbeat was received for the expiry, but the controller may have missed
     * them. It implies neither that the instance is live nor that it has failed.
     */
    UNHEARD,
    /** It has left, or a controller that would have received its heartbeats received none for the expiry. */
    GONE
}
