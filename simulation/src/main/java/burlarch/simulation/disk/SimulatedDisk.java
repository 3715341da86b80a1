package burlarch.simulation.disk;

import burlarch.simulation.Simulation;
import burlarch.storage.Disk;
import burlarch.storage.DiskFile;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Simulated {@link Disk} of a machine in virtual time, with latency, stalls, full-disk errors and crashes. It outlives
 * the processes that use it.
 *
 * <p>Each call returns its result immediately and advances the disk's own clock by a random latency. The caller
 * therefore first sets that clock with {@link #beginCalls}, then makes its calls, and acts on their results when the
 * simulation reaches {@link #callsDoneNanos}.
 *
 * <p>A file that was opened before a crash or a wipe cannot be used after it: its calls throw IllegalStateException.
 *
 * <p>Not thread-safe; used on the simulation's thread.
 */
public final class SimulatedDisk implements Disk {
    /** How a disk responds to sync calls. */
    public enum SyncMode {
        /** Sync makes the data durable before it returns. */
        HONEST,
        /** Sync returns without making anything durable; a power loss loses the latest operations. */
        IGNORED
    }

    private static final long WRITE_NANOS = Simulation.MILLISECOND / 5;
    private static final long SYNC_NANOS = 2 * Simulation.MILLISECOND;
    private static final long SLOW_SYNC_NANOS = 60 * Simulation.MILLISECOND;
    /** On average, one sync in this many is slow. */
    private static final int SYNCS_PER_SLOW_SYNC = 40;
    /** Number of logged operations from which on compaction is attempted. */
    private static final int COMPACTION_THRESHOLD = 32;

    private final Random random;
    private final SyncMode syncMode;
    private DiskOperationLog operationLog = new DiskOperationLog();
    private DiskImage image = new DiskImage();
    private int lastFileNumber;
    private long clockNanos;
    private long stalledUntilNanos;
    private long fullUntilNanos;
    private long slowUntilNanos;
    private int slowdownFactor = 1;
    /** Number of crashes and wipes so far; a file opened in an earlier generation belongs to an ended process. */
    private int generation;

    /** Creates an empty disk that draws latencies and crash results from {@code random}. */
    public SimulatedDisk(Random random, SyncMode syncMode) {
        this.random = random;
        this.syncMode = syncMode;
    }

    /** Sets the disk's clock to the virtual time at which the following calls are made. */
    public void beginCalls(long nowNanos) {
        clockNanos = nowNanos;
        if (operationLog.size() >= COMPACTION_THRESHOLD) {
            operationLog.compact(image, nowNanos);
        }
    }

    /** Returns the virtual time, in nanoseconds, at which all calls since {@link #beginCalls} have returned. */
    public long callsDoneNanos() {
        return clockNanos;
    }

    /** Stalls the disk until the given virtual time: no call begins earlier. A longer stall stays in force. */
    public void stallUntil(long untilNanos) {
        stalledUntilNanos = Math.max(stalledUntilNanos, untilNanos);
    }

    /** Returns the virtual time, in nanoseconds, at which the last stall ends; 0 if there was none. */
    public long stalledUntilNanos() {
        return stalledUntilNanos;
    }

    /** Makes the disk full until the given virtual time: writes that begin earlier fail, perhaps partly written. */
    public void rejectWritesUntil(long untilNanos) {
        fullUntilNanos = Math.max(fullUntilNanos, untilNanos);
    }

    /** Slows the disk down: calls that begin before the given virtual time take {@code factor} times as long. */
    public void slowDownUntil(long untilNanos, int factor) {
        slowUntilNanos = Math.max(slowUntilNanos, untilNanos);
        slowdownFactor = factor;
    }

    /** Handles a crash of the process that uses the disk: all operations that began by {@code nowNanos} are kept. */
    public void onProcessKilled(long nowNanos) {
        image = operationLog.imageAfterKill(nowNanos);
        generation++;
    }

    /** Handles a power loss of the machine: operations that were not synced may be lost or torn. */
    public void onPowerLoss(long nowNanos) {
        image = syncMode == SyncMode.HONEST
                ? operationLog.imageAfterPowerLoss(nowNanos, random)
                : operationLog.imageAfterLosingTail(nowNanos, random);
        generation++;
    }

    /** Erases all files and invalidates open files. */
    public void wipe() {
        operationLog = new DiskOperationLog();
        image = new DiskImage();
        generation++;
    }

    @Override
    public List<String> listFiles() throws IOException {
        List<String> names = new ArrayList<>();
        image.names().forEach(names::add);
        return names;
    }

    @Override
    public DiskFile create(String name) throws IOException {
        if (image.fileNamed(name) != null) {
            throw new IOException("file exists: " + name);
        }
        long beginNanos = advance(WRITE_NANOS);
        operationLog.add(new DiskOperation.Create(beginNanos, clockNanos, name, ++lastFileNumber));
        image.create(name, lastFileNumber);
        return new OpenFile(lastFileNumber);
    }

    @Override
    public DiskFile open(String name) throws IOException {
        Integer file = image.fileNamed(name);
        if (file == null) {
            throw new IOException("no such file: " + name);
        }
        return new OpenFile(file);
    }

    @Override
    public void remove(String name) throws IOException {
        long beginNanos = advance(WRITE_NANOS);
        operationLog.add(new DiskOperation.Remove(beginNanos, clockNanos, name));
        image.remove(name);
    }

    @Override
    public void syncDirectory() throws IOException {
        long beginNanos = advance(drawSyncNanos());
        if (syncMode == SyncMode.HONEST) {
            operationLog.add(new DiskOperation.SyncDirectory(beginNanos, clockNanos));
        }
    }

    private long drawSyncNanos() {
        return random.nextInt(SYNCS_PER_SLOW_SYNC) == 0 ? SLOW_SYNC_NANOS : SYNC_NANOS;
    }

    /**
     * Advances the clock by the latency of one call, drawn uniformly from 0.5 to 1.5 times {@code meanNanos}. While the
     * disk is slowed down, the mean is multiplied by the slowdown factor.
     *
     * @return the virtual time at which the call begins, after any stall
     */
    private long advance(long meanNanos) {
        long beginNanos = Math.max(clockNanos, stalledUntilNanos);
        long meanLatencyNanos = beginNanos < slowUntilNanos ? slowdownFactor * meanNanos : meanNanos;
        clockNanos = beginNanos + meanLatencyNanos / 2 + (long) (random.nextDouble() * meanLatencyNanos);
        return beginNanos;
    }

    /** A file opened by one process; unusable once that process has ended. */
    private final class OpenFile implements DiskFile {
        private final int file;
        private final int openedInGeneration = generation;

        OpenFile(int file) {
            this.file = file;
        }

        @Override
        public long sizeBytes() throws IOException {
            checkProcessAlive();
            return image.content(file).length;
        }

        @Override
        public void read(long position, ByteBuffer into) throws IOException {
            checkProcessAlive();
            byte[] content = image.content(file);
            if (position + into.remaining() > content.length) {
                throw new EOFException("the file ends at " + content.length);
            }
            into.put(content, (int) position, into.remaining());
        }

        @Override
        public void write(long position, ByteBuffer from) throws IOException {
            checkProcessAlive();
            long beginNanos = advance(WRITE_NANOS);
            boolean full = beginNanos < fullUntilNanos;
            byte[] data = new byte[full ? random.nextInt(from.remaining() + 1) : from.remaining()];
            from.get(data);
            operationLog.add(new DiskOperation.Write(beginNanos, clockNanos, file, (int) position, data));
            image.write(file, (int) position, data);
            if (full) {
                throw new IOException("no space left");
            }
        }

        @Override
        public void truncate(long size) throws IOException {
            checkProcessAlive();
            long beginNanos = advance(WRITE_NANOS);
            operationLog.add(new DiskOperation.Truncate(beginNanos, clockNanos, file, (int) size));
            image.truncate(file, (int) size);
        }

        @Override
        public void force() throws IOException {
            checkProcessAlive();
            long beginNanos = advance(drawSyncNanos());
            if (syncMode == SyncMode.HONEST) {
                operationLog.add(new DiskOperation.SyncFile(beginNanos, clockNanos, file));
            }
        }

        @Override
        public void close() throws IOException {
            // No resources are held.
        }

        private void checkProcessAlive() {
            if (openedInGeneration != generation) {
                throw new IllegalStateException("a process that has ended uses the disk");
            }
        }
    }
}
