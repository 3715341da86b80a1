package burlarch.simulation.transport;

import burlarch.simulation.NodeContext;
import burlarch.transport.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Simulated {@link EventLoop} of one process in virtual time. The process calls {@link #beginEvent} before and
 * {@link #endEvent} after it handles an event of the simulation; the clock does not advance in between.
 *
 * <p>Invariant (task order): tasks run in the order of their due time, and tasks with the same due time in the order in
 * which they were submitted.
 */
public final class SimulatedEventLoop implements EventLoop {
    private final NodeContext context;
    private final TreeSet<Task> tasks = new TreeSet<>();
    private long nowNanos;
    private long nextSequence;
    private long timerAtNanos;
    private boolean timerSet;
    /** Tasks submitted by the running task of another simulated thread; null if no such task is running. */
    private List<Runnable> submittedByOtherThread;

    /** Scheduled task; tasks are ordered by due time, then by submission. */
    private final class Task implements EventLoop.Timer, Comparable<Task> {
        private final long dueNanos;
        private final long sequence;
        private final Runnable action;

        Task(long dueNanos, long sequence, Runnable action) {
            this.dueNanos = dueNanos;
            this.sequence = sequence;
            this.action = action;
        }

        @Override
        public void cancel() {
            tasks.remove(this);
        }

        @Override
        public int compareTo(Task other) {
            int byDueTime = Long.signum(dueNanos - other.dueNanos);
            return byDueTime != 0 ? byDueTime : Long.compare(sequence, other.sequence);
        }
    }

    /** Creates the event loop of a process, without tasks. */
    public SimulatedEventLoop(NodeContext context) {
        this.context = context;
    }

    /** Begins an event: sets the clock to the process's monotonic time, in nanoseconds. */
    public void beginEvent(long timeNanos) {
        nowNanos = timeNanos;
    }

    /** Ends an event: runs all tasks that are due, and sets the process's timer for the next one. */
    public void endEvent() {
        while (!tasks.isEmpty() && tasks.first().dueNanos - nowNanos <= 0) {
            tasks.pollFirst().action.run();
        }
        if (tasks.isEmpty() || timerSet && timerAtNanos - nowNanos > 0 && timerAtNanos == tasks.first().dueNanos) {
            return;
        }
        timerAtNanos = tasks.first().dueNanos;
        timerSet = true;
        context.setTimer(timerAtNanos);
    }

    @Override
    public long nanoTime() {
        return nowNanos;
    }

    @Override
    public void execute(Runnable task) {
        if (submittedByOtherThread != null) {
            submittedByOtherThread.add(task);
        } else {
            schedule(0, task);
        }
    }

    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        Task timer = new Task(nowNanos + Math.max(0, delayNanos), nextSequence++, task);
        tasks.add(timer);
        return timer;
    }

    /**
     * Runs a task as if on another thread.
     *
     * @return the tasks that it submitted to this loop; the caller has to run them
     */
    List<Runnable> runOnOtherThread(Runnable task) {
        submittedByOtherThread = new ArrayList<>();
        try {
            task.run();
            return submittedByOtherThread;
        } finally {
            submittedByOtherThread = null;
        }
    }

    /** Returns whether the caller is a task run by {@link #runOnOtherThread}. */
    boolean isOnOtherThread() {
        return submittedByOtherThread != null;
    }
}
