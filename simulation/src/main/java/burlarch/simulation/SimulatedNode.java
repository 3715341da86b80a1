package burlarch.simulation;

/**
 * Simulated process. The simulation calls it on its single thread, one event at a time; an event takes no virtual time.
 * Times are nanoseconds of the machine's own monotonic clock.
 */
public interface SimulatedNode {
    /** Starts the process. Called once, before any other method. */
    void start(long now);

    /**
     * Handles a message that has arrived.
     *
     * @param from address of the sender
     */
    void onMessage(String from, Object message, long now);

    /** Handles the expiry of the timer that was set with {@link NodeContext#setTimer}. */
    void onTimer(long now);

    /** Called before the process is killed. It may send what the kernel of its machine would send, such as resets. */
    default void onKilled() {}
}
