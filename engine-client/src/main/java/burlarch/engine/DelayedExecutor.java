package burlarch.engine;

/** Runs tasks later, on a thread of its own choice. */
public interface DelayedExecutor {
    void schedule(Runnable task, long delayMillis);
}
