package burlarch.controller.ownership;

/** A role whose work only the holder of its lease may do. Called on the event loop. */
public interface SingletonRole {
    /** Whether there is work to do. The recorded holder claims and confirms the lease only while there is. */
    boolean hasWork();

    /**
     * Called when this process may act, until {@link #onLost}. The role must check {@link LeaseManager#mayAct} before
     * each action.
     *
     * @param fencingToken higher than the token of every earlier holder
     */
    void onAcquired(long fencingToken);

    /** Called when this process may no longer act. */
    void onLost();
}
