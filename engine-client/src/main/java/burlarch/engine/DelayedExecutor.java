package burlarch.engine;

/** Scheduler that runs each task once after a delay. The implementation chooses the thread. */
public interface DelayedExecutor {
    /** Runs {@code task} once, no earlier than {@code delayMillis} milliseconds from now. */
    void schedule(Runnable task, long delayMillis);
}
