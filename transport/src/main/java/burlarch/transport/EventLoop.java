package burlarch.transport;

/**
 * One thread that runs tasks and timers in turn, with a monotonic clock: {@link SelectorEventLoop} in service, or a
 * loop in virtual time. Code that decides gets its time and its turns from here alone, so that a simulation can run
 * it.
 */
public interface EventLoop {
    /** A task that runs later. */
    interface Timer {
        /** Prevents the task from running unless it has begun. Cancelling again does nothing. */
        void cancel();
    }

    /** Returns the monotonic clock that timers go by, in nanoseconds; only differences have a meaning. */
    long nanoTime();

    /** Runs the task on the loop, after the tasks that were handed in before by the same thread. */
    void execute(Runnable task);

    /** Runs the task on the loop once the delay is over; not before, and in the order of due times. */
    Timer schedule(long delayNanos, Runnable task);
}
