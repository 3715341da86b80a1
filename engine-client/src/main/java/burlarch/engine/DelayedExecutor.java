package burlarch.engine;

/** Runs tasks after a delay, on a thread of its choice. */
public interface DelayedExecutor {
    /** Runs the task once, after at least that delay. */
    void schedule(Runnable task, long delayMillis);
}
