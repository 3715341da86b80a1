package burlarch.simulation;

/**
 * A process under simulation. The simulation calls it on its single thread, one event at a time; an event takes no
 * virtual time. Times are nanoseconds of the machine's own monotonic clock.
 */
public interface SimulatedNode {
    /** The process starts. Called once, before any other method. */
    void start(long now);

    /**
     * A message has arrived.
     *
     * @param from address of the sender
     */
    void onMessage(String from, Object message, long now);

    /** The timer that was requested by {@link NodeContext#setTimer} is due. */
    void onTimer(long now);

    /** The process is being killed. It may still send what its machine's kernel would send, such as resets. */
    default void onKilled() {}
}
