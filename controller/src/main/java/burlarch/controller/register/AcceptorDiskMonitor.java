package burlarch.controller.register;

import org.tinylog.Logger;

/**
 * Whether this process's acceptor can write to its disk. One that can't, because the disk is full, fails or hangs, does
 * not vote although its process is alive: it abstains, and says so to the other controllers, which may replace it. Runs
 * on the event loop.
 *
 * <table>
 * <caption>States</caption>
 * <tr><th>from</th><th>event</th><th>to</th></tr>
 * <tr><td>USABLE</td><td>a write failed, or the disk thread made no progress for {@value #STALL_NANOS} ns</td>
 * <td>DOUBTFUL</td></tr>
 * <tr><td>DOUBTFUL</td><td>a write succeeded</td><td>USABLE</td></tr>
 * <tr><td>DOUBTFUL</td><td>{@value #ABSTAIN_AFTER_NANOS} ns have passed</td><td>ABSTAINING</td></tr>
 * <tr><td>ABSTAINING</td><td>a write succeeded</td><td>RECOVERING</td></tr>
 * <tr><td>RECOVERING</td><td>a write failed, or no progress</td><td>ABSTAINING</td></tr>
 * <tr><td>RECOVERING</td><td>{@value #RETURN_AFTER_NANOS} ns have passed</td><td>USABLE</td></tr>
 * </table>
 *
 * <p>Invariant <em>no flapping</em>: between two ends of abstaining lies at least the time of RECOVERING, so
 * that a disk
 * which fails by turns is replaced once.
 */
final class AcceptorDiskMonitor {
    /** How long the disk thread may go without finishing a task before that counts as a failure. */
    static final long STALL_NANOS = 500_000_000;
    /** How long a disk must be unusable before the acceptor abstains; shorter stalls are ordinary. */
    static final long ABSTAIN_AFTER_NANOS = 1_000_000_000;
    /** How long the disk must be usable again before the acceptor takes part again. */
    static final long RETURN_AFTER_NANOS = 2_000_000_000;

    /** What a task on the disk thread did. */
    enum WriteResult {
        /** It had nothing to write. */
        NONE,
        SUCCEEDED,
        FAILED
    }

    private enum State {
        USABLE,
        DOUBTFUL,
        ABSTAINING,
        RECOVERING
    }

    private enum Event {
        WRITE_SUCCEEDED,
        FAILURE
    }

    private State state = State.USABLE;
    private long stateSinceNanos;
    private long abstainingSinceNanos;
    private int pendingTasks;
    /** When a task ended, or was submitted while none was pending. */
    private long lastProgressNanos;

    /** A task was handed to the disk thread. */
    void onTaskSubmitted(long nowNanos) {
        if (pendingTasks++ == 0) {
            lastProgressNanos = nowNanos;
        }
    }

    /** A task of the disk thread has ended. */
    void onTaskEnded(WriteResult result, long nowNanos) {
        pendingTasks--;
        lastProgressNanos = nowNanos;
        if (result != WriteResult.NONE) {
            onEvent(result == WriteResult.SUCCEEDED ? Event.WRITE_SUCCEEDED : Event.FAILURE, nowNanos);
        }
    }

    /** To be called periodically: finds a disk that hangs, and lets time pass in the states. */
    void check(long nowNanos) {
        if (pendingTasks > 0 && nowNanos - lastProgressNanos >= STALL_NANOS) {
            onEvent(Event.FAILURE, nowNanos);
        }
        long inStateNanos = nowNanos - stateSinceNanos;
        if (state == State.DOUBTFUL && inStateNanos >= ABSTAIN_AFTER_NANOS) {
            abstainingSinceNanos = nowNanos;
            moveTo(State.ABSTAINING, nowNanos);
            Logger.warn("disk cannot be written: acceptor abstains, others may replace it");
        } else if (state == State.RECOVERING && inStateNanos >= RETURN_AFTER_NANOS) {
            moveTo(State.USABLE, nowNanos);
            Logger.info("disk can be written again: acceptor takes part again");
        }
    }

    /** Whether the disk should be written to find out about it: it is not known as usable, and nothing is pending. */
    boolean needsProbe() {
        return state != State.USABLE && pendingTasks == 0;
    }

    /** Whether the acceptor takes no part. */
    boolean abstains() {
        return state == State.ABSTAINING || state == State.RECOVERING;
    }

    /** Since when it takes no part; only while it does not. */
    long abstainingSinceNanos() {
        return abstainingSinceNanos;
    }

    private void onEvent(Event event, long nowNanos) {
        State next =
                switch (state) {
                    case USABLE -> event == Event.FAILURE ? State.DOUBTFUL : State.USABLE;
                    case DOUBTFUL -> event == Event.FAILURE ? State.DOUBTFUL : State.USABLE;
                    case ABSTAINING -> event == Event.FAILURE ? State.ABSTAINING : State.RECOVERING;
                    case RECOVERING -> event == Event.FAILURE ? State.ABSTAINING : State.RECOVERING;
                };
        if (next != state) {
            moveTo(next, nowNanos);
        }
    }

    private void moveTo(State next, long nowNanos) {
        state = next;
        stateSinceNanos = nowNanos;
    }
}
