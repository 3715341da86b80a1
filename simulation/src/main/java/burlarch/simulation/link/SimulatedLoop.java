package burlarch.simulation.link;

import burlarch.simulation.NodeContext;
import burlarch.transport.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** The loop of one process in virtual time. What happens within one event takes no time. */
public final class SimulatedLoop implements EventLoop {
    private final NodeContext context;
    private final TreeSet<Task> tasks = new TreeSet<>();
    private long nowNanos;
    private long sequence;
    private long timerAtNanos;
    private boolean timerSet;
    private List<Runnable> submittedByOtherThread;

    private final class Task implements EventLoop.Timer, Comparable<Task> {
        private final long dueNanos;
        private final long sequence;
        private final Runnable action;

        Task(long due, long number, Runnable action) {
            this.dueNanos = due;
            this.sequence = number;
            this.action = action;
        }

        @Override
        public void cancel() {
            tasks.remove(this);
        }

        @Override
        public int compareTo(Task other) {
            int byDue = Long.signum(dueNanos - other.dueNanos);
            return byDue != 0 ? byDue : Long.compare(sequence, other.sequence);
        }
    }

    public SimulatedLoop(NodeContext context) {
        this.context = context;
    }

    /** An event begins; all that is due is done first. */
    public void beginEvent(long time) {
        nowNanos = time;
    }

    /** Does what is due, and plans the next wake-up; to be called at the end of each event. */
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
        Task timer = new Task(nowNanos + Math.max(0, delayNanos), sequence++, task);
        tasks.add(timer);
        return timer;
    }

    /** Runs a task of another thread; returns what it has the loop do, which is not done yet. */
    List<Runnable> runOnOtherThread(Runnable task) {
        submittedByOtherThread = new ArrayList<>();
        try {
            task.run();
            return submittedByOtherThread;
        } finally {
            submittedByOtherThread = null;
        }
    }

    /** Whether the present call comes from a task of another thread. */
    boolean isOnOtherThread() {
        return submittedByOtherThread != null;
    }
}
