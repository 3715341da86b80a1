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
public final class DiskThread implements Executor {
    private static final int MOST_WAITING = 64;

    private final SimulatedLoop loop;
    private final SimulatedDisk disk;
    /** From the loop's clock to the disk's. */
    private final long clockOffset;

    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private boolean busy;

    /** @param clockOffset what to add to the loop's time for the time of the disk */
    public DiskThread(SimulatedLoop loop, SimulatedDisk disk, long clockOffset) {
        this.loop = loop;
        this.disk = disk;
        this.clockOffset = clockOffset;
    }

    @Override
    public void execute(Runnable task) {
        if (waiting.size() >= MOST_WAITING) {
            throw new RejectedExecutionException("the disk is busy");
        }
        waiting.add(task);
        if (!busy) {
            next();
        }
    }

    private void next() {
        Runnable task = waiting.poll();
        busy = task != null;
        if (!busy) {
            return;
        }
        long begin = loop.nanoTime() + clockOffset;
        disk.begin(begin);
        List<Runnable> results = loop.runApart(task);
        loop.schedule(disk.time() - begin, () -> {
            results.forEach(Runnable::run);
            next();
        });
    }
}
