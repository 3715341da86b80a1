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
    private long now;
    private long sequence;
    private long wakeUpAt;
    private boolean wakeUpPlanned;
    private List<Runnable> heldBack;

    private final class Task implements EventLoop.Timer, Comparable<Task> {
        private final long due;
        private final long number;
        private final Runnable action;

        Task(long due, long number, Runnable action) {
            this.due = due;
            this.number = number;
            this.action = action;
        }

        @Override
        public void cancel() {
            tasks.remove(this);
        }

        @Override
        public int compareTo(Task other) {
            int byDue = Long.signum(due - other.due);
            return byDue != 0 ? byDue : Long.compare(number, other.number);
        }
    }

    public SimulatedLoop(NodeContext context) {
        this.context = context;
    }

    /** An event begins; all that is due is done first. */
    public void enter(long time) {
        now = time;
    }

    /** Does what is due, and plans the next wake-up; to be called at the end of each event. */
    public void leave() {
        while (!tasks.isEmpty() && tasks.first().due - now <= 0) {
            tasks.pollFirst().action.run();
        }
        if (tasks.isEmpty() || wakeUpPlanned && wakeUpAt - now > 0 && wakeUpAt == tasks.first().due) {
            return;
        }
        wakeUpAt = tasks.first().due;
        wakeUpPlanned = true;
        context.wakeUpAt(wakeUpAt);
    }

    @Override
    public long nanoTime() {
        return now;
    }

    @Override
    public void execute(Runnable task) {
        if (heldBack != null) {
            heldBack.add(task);
        } else {
            schedule(0, task);
        }
    }

    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        Task timer = new Task(now + Math.max(0, delayNanos), sequence++, task);
        tasks.add(timer);
        return timer;
    }

    /** Runs a task of another thread; returns what it has the loop do, which is not done yet. */
    List<Runnable> runApart(Runnable task) {
        heldBack = new ArrayList<>();
        try {
            task.run();
            return heldBack;
        } finally {
            heldBack = null;
        }
    }

    /** Whether the present call comes from a task of another thread. */
    boolean isApart() {
        return heldBack != null;
    }
}
