package burlarch.simulation.transport;

import burlarch.simulation.disk.SimulatedDisk;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/**
 * Simulated single-threaded executor for the disk tasks of a process, in virtual time. Tasks run in order. A callback
 * that a task submits to the event loop runs only once the disk has finished the task's calls.
 */
public final class SimulatedDiskExecutor implements Executor {
    private static final int MAX_QUEUED_TASKS = 64;

    private final SimulatedEventLoop loop;
    private final SimulatedDisk disk;
    /** Time on the disk's clock, which is virtual time, minus time on the loop's clock. */
    private final long clockOffsetNanos;

    private final Deque<Runnable> queue = new ArrayDeque<>();
    private boolean busy;

    /** @param clockOffsetNanos time on the disk's clock minus time on the loop's clock */
    public SimulatedDiskExecutor(SimulatedEventLoop loop, SimulatedDisk disk, long clockOffsetNanos) {
        this.loop = loop;
        this.disk = disk;
        this.clockOffsetNanos = clockOffsetNanos;
    }

    @Override
    public void execute(Runnable task) {
        if (queue.size() >= MAX_QUEUED_TASKS) {
            throw new RejectedExecutionException("disk queue is full");
        }
        queue.add(task);
        if (!busy) {
            runNext();
        }
    }

    private void runNext() {
        Runnable task = queue.poll();
        busy = task != null;
        if (!busy) {
            return;
        }
        long beginNanos = loop.nanoTime() + clockOffsetNanos;
        disk.beginCalls(beginNanos);
        List<Runnable> callbacks = loop.runOnOtherThread(task);
        loop.schedule(disk.callsDoneNanos() - beginNanos, () -> {
            callbacks.forEach(Runnable::run);
            runNext();
        });
    }
}
