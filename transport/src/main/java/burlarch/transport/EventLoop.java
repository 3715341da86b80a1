package burlarch.transport;

/**
 * One thread of work with a steady clock and timers, as far as decisions need it: {@link SelectorEventLoop}, or
 * virtual time.
 */
public interface EventLoop {
    /** A task that is due later. */
    interface Timer {
        /** The task isn't run any more, unless it has begun. */
        void cancel();
    }

    /** The steady clock that timers go by. */
    long nanoTime();

    /** Runs the task on the loop, soon. */
    void execute(Runnable task);

    /** Runs the task on the loop once the delay is over. */
    Timer schedule(long delayNanos, Runnable task);
}
