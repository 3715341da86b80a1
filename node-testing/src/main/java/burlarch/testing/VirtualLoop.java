package burlarch.testing;

import burlarch.transport.EventLoop;
import java.util.ArrayList;
import java.util.List;

/** Event loop in virtual time, which a test advances. */
public final class VirtualLoop implements EventLoop {
    private record ScheduledTask(long dueAtNanos, Runnable task) {}

    private final List<ScheduledTask> scheduledTasks = new ArrayList<>();
    private long nowNanos;

    @Override
    public long nanoTime() {
        return nowNanos;
    }

    @Override
    public void execute(Runnable task) {
        task.run();
    }

    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        ScheduledTask scheduledTask = new ScheduledTask(nowNanos + delayNanos, task);
        scheduledTasks.add(scheduledTask);
        return () -> scheduledTasks.remove(scheduledTask);
    }

    /** Returns the number of tasks that are scheduled and have not run. */
    public int scheduledTaskCount() {
        return scheduledTasks.size();
    }

    /** Advances time by {@code nanos} and runs the tasks that are due by then, but not those that they schedule. */
    public void pass(long nanos) {
        nowNanos += nanos;
        List<ScheduledTask> dueTasks = new ArrayList<>(scheduledTasks);
        dueTasks.removeIf(scheduled -> scheduled.dueAtNanos() > nowNanos);
        scheduledTasks.removeAll(dueTasks);
        dueTasks.forEach(scheduled -> scheduled.task().run());
    }
}
