package burlarch.simulation.link;

import burlarch.simulation.disk.SimulatedDisk;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/**
 * The one thread of a process that touches its disk: what a task leads to happens when the disk is done with
 * it.
 */
public final class SimulatedDiskExecutor implements Executor {
    private static final int MAX_QUEUED_TASKS = 64;

    private final SimulatedLoop loop;
    private final SimulatedDisk disk;
    /** From the loop's clock to the disk's. */
    private final long clockOffsetNanos;

    private final Deque<Runnable> queue = new ArrayDeque<>();
    private boolean busy;

    /** @param clockOffsetNanos what to add to the loop's time for the time of the disk */
    public SimulatedDiskExecutor(SimulatedLoop loop, SimulatedDisk disk, long clockOffset) {
        this.loop = loop;
        this.disk = disk;
        this.clockOffsetNanos = clockOffset;
    }

    @Override
    public void execute(Runnable task) {
        if (queue.size() >= MAX_QUEUED_TASKS) {
            throw new RejectedExecutionException("the disk is busy");
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
        long begin = loop.nanoTime() + clockOffsetNanos;
        disk.beginCalls(begin);
        List<Runnable> results = loop.runOnOtherThread(task);
        loop.schedule(disk.callsDoneNanos() - begin, () -> {
            results.forEach(Runnable::run);
            runNext();
        });
    }
}
