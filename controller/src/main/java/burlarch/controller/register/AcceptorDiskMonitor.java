package burlarch.controller.register;

import org.tinylog.Logger;

/**
 * State machine that decides, from the results of disk writes, whether this process's acceptor abstains from voting. An
 * acceptor whose disk is full, fails or hangs can't vote although its process is alive. It abstains and reports that to
 * the other controllers, which may replace it. Runs on the event loop.
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
 * <p>Invariant <em>no flapping</em>: the acceptor leaves ABSTAINING only through RECOVERING, so an intermittently
 * failing disk leads to one replacement.
 */
final class AcceptorDiskMonitor {
    /** A pending task that the disk thread has not finished after this time counts as a failure. */
    static final long STALL_NANOS = 500_000_000;
    /** How long a disk must be unusable before the acceptor abstains; shorter stalls are ordinary. */
    static final long ABSTAIN_AFTER_NANOS = 1_000_000_000;
    /** How long the disk must be usable again before the acceptor takes part again. */
    static final long RETURN_AFTER_NANOS = 2_000_000_000;

    /** Result of one task on the disk thread. */
    enum WriteResult {
        /** The task had nothing to write. */
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
    /** Time at which a task last ended, or was submitted while none was pending. */
    private long lastProgressNanos;

    /** Records that a task was handed to the disk thread. */
    void onTaskSubmitted(long nowNanos) {
        if (pendingTasks++ == 0) {
            lastProgressNanos = nowNanos;
        }
    }

    /** Records that a task of the disk thread has ended. */
    void onTaskEnded(WriteResult result, long nowNanos) {
        pendingTasks--;
        lastProgressNanos = nowNanos;
        if (result != WriteResult.NONE) {
            onEvent(result == WriteResult.SUCCEEDED ? Event.WRITE_SUCCEEDED : Event.FAILURE, nowNanos);
        }
    }

    /** Detects a hanging disk and performs the transitions that are due by time. Must be called periodically. */
    void check(long nowNanos) {
        if (pendingTasks > 0 && nowNanos - lastProgressNanos >= STALL_NANOS) {
            onEvent(Event.FAILURE, nowNanos);
        }
        long timeInStateNanos = nowNanos - stateSinceNanos;
        if (state == State.DOUBTFUL && timeInStateNanos >= ABSTAIN_AFTER_NANOS) {
            abstainingSinceNanos = nowNanos;
            transitionTo(State.ABSTAINING, nowNanos);
            Logger.warn("disk cannot be written: acceptor abstains, others may replace it");
        } else if (state == State.RECOVERING && timeInStateNanos >= RETURN_AFTER_NANOS) {
            transitionTo(State.USABLE, nowNanos);
            Logger.info("disk can be written again: acceptor takes part again");
        }
    }

    /** Whether a probe write is needed: the state is not USABLE and no task is pending. */
    boolean needsProbe() {
        return state != State.USABLE && pendingTasks == 0;
    }

    /** Whether the acceptor abstains from voting. */
    boolean abstains() {
        return state == State.ABSTAINING || state == State.RECOVERING;
    }

    /** Time at which the acceptor began to abstain; valid only while {@link #abstains} is true. */
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
            transitionTo(next, nowNanos);
        }
    }

    private void transitionTo(State next, long nowNanos) {
        state = next;
        stateSinceNanos = nowNanos;
    }
}
