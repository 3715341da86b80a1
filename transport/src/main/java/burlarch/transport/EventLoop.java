package burlarch.transport;

/**
 * Runs tasks and timers one at a time on a single thread, and provides a monotonic clock. Implemented by
 * {@link SelectorEventLoop} in production and by a loop in virtual time in simulations. Decision logic takes its time
 * and its scheduling only from this interface, so that a simulation can run it.
 */
public interface EventLoop {
    /** A scheduled task. */
    interface Timer {
        /** Prevents the task from running unless it has started. Repeated calls have no effect. */
        void cancel();
    }

    /** Returns the monotonic clock used by timers, in nanoseconds; only differences are meaningful. */
    long nanoTime();

    /** Runs the task on the loop, after the tasks submitted earlier by the same thread. */
    void execute(Runnable task);

    /** Runs the task on the loop after the delay, never earlier; timers run in the order of their due times. */
    Timer schedule(long delayNanos, Runnable task);
}
