package burlarch.controller.ownership;

/** Work that only the holder of a lease may do. Called on the event loop. */
public interface SingletonRole {
    /** Whether there is work to do; the lease is claimed by its holder and confirmed only while there is. */
    boolean hasWork();

    /**
     * This process may act from now on, until {@link #onLost}; before each act it asks {@link LeaseManager#mayAct}.
     *
     * @param fencingToken higher than the token of every earlier holder
     */
    void onAcquired(long fencingToken);

    /** This process may no longer act. */
    void onLost();
}
