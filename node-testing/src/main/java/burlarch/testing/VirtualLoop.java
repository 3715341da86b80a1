package burlarch.testing;

import burlarch.transport.EventLoop;
import java.util.ArrayList;
import java.util.List;

/** A loop whose time passes when a test says so. */
public final class VirtualLoop implements EventLoop {
    private record Planned(long due, Runnable task) {}

    private final List<Planned> planned = new ArrayList<>();
    private long now;

    @Override
    public long nanoTime() {
        return now;
    }

    @Override
    public void execute(Runnable task) {
        task.run();
    }

    @Override
    public Timer schedule(long delayNanos, Runnable task) {
        Planned added = new Planned(now + delayNanos, task);
        planned.add(added);
        return () -> planned.remove(added);
    }

    /** Tasks that wait for their time. */
    public int plannedTasks() {
        return planned.size();
    }

    /** Lets time pass and runs what is due by then, but not what that plans. */
    public void pass(long nanos) {
        now += nanos;
        List<Planned> due = new ArrayList<>(planned);
        due.removeIf(one -> one.due() > now);
        planned.removeAll(due);
        due.forEach(one -> one.task().run());
    }
}
