package burlarch.simulation.disk;

import burlarch.simulation.disk.DiskOperation.Create;
import burlarch.simulation.disk.DiskOperation.Remove;
import burlarch.simulation.disk.DiskOperation.SyncDirectory;
import burlarch.simulation.disk.DiskOperation.SyncFile;
import burlarch.simulation.disk.DiskOperation.Truncate;
import burlarch.simulation.disk.DiskOperation.Write;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * Log of the operations on a disk since its last fully durable image. It computes the files that remain after a process
 * crash or a power loss.
 *
 * <p>Invariant (synced data is durable): an operation that is covered by a later, completed sync survives every power
 * loss. Any other operation may survive, be lost, or survive in part.
 *
 * <p>Not thread-safe; owned by one {@link SimulatedDisk}.
 */
final class DiskOperationLog {
    private static final int MAX_TORN_BYTES = 64;

    private DiskImage durable = new DiskImage();
    private final List<DiskOperation> operations = new ArrayList<>();

    /** Appends an operation. */
    void add(DiskOperation operation) {
        operations.add(operation);
    }

    /** Returns the number of operations in the log. */
    int size() {
        return operations.size();
    }

    /** If all operations are durable, replaces the durable image by {@code image} and clears the log. */
    void compact(DiskImage image, long nowNanos) {
        for (int i = 0; i < operations.size(); i++) {
            if (operations.get(i).endNanos() > nowNanos || !isDurable(i, nowNanos)) {
                return;
            }
        }
        durable = image.copy();
        operations.clear();
    }

    /** Returns the files after a process crash: every operation that began by {@code nowNanos} is applied in order. */
    DiskImage imageAfterKill(long nowNanos) {
        DiskImage image = durable.copy();
        discardOperationsBegunAfter(nowNanos);
        operations.forEach(operation -> apply(operation, image));
        return image;
    }

    /** Returns the files after a power loss: an operation not synced is applied fully, in part, or not at all. */
    DiskImage imageAfterPowerLoss(long nowNanos, Random random) {
        DiskImage image = durable.copy();
        for (int i = 0; i < operations.size(); i++) {
            DiskOperation operation = operations.get(i);
            if (operation.beginNanos() > nowNanos) {
                break;
            }
            if (isDurable(i, nowNanos)) {
                apply(operation, image);
            } else if (random.nextInt(3) > 0) {
                apply(tearAtRandom(operation, random), image);
            }
        }
        resetTo(image);
        return image;
    }

    /** Returns the files after a power loss of a disk that ignores syncs but writes in order: a prefix of the log. */
    DiskImage imageAfterLosingTail(long nowNanos, Random random) {
        discardOperationsBegunAfter(nowNanos);
        int survivingCount = random.nextInt(operations.size() + 1);
        DiskImage image = durable.copy();
        operations.subList(0, survivingCount).forEach(operation -> apply(operation, image));
        resetTo(image);
        return image;
    }

    private void discardOperationsBegunAfter(long nowNanos) {
        operations.removeIf(operation -> operation.beginNanos() > nowNanos);
    }

    private void resetTo(DiskImage image) {
        operations.clear();
        durable = image.copy();
    }

    private static DiskOperation tearAtRandom(DiskOperation operation, Random random) {
        return operation instanceof Write write && random.nextBoolean() ? tear(write, random) : operation;
    }

    /** Returns a torn write: the end of the data is missing, or a range of bytes within it reads as zeros. */
    private static Write tear(Write write, Random random) {
        byte[] data = write.data().clone();
        if (data.length > 0 && random.nextBoolean()) {
            data = Arrays.copyOf(data, random.nextInt(data.length));
        } else if (data.length > 0) {
            // The new file length reached the medium, but a part of the content did not.
            int from = random.nextInt(data.length);
            int to = Math.min(data.length, from + 1 + random.nextInt(MAX_TORN_BYTES));
            Arrays.fill(data, from, to, (byte) 0);
        }
        return new Write(write.beginNanos(), write.endNanos(), write.file(), write.position(), data);
    }

    private boolean isDurable(int index, long nowNanos) {
        DiskOperation operation = operations.get(index);
        if (operation.endNanos() > nowNanos) {
            return false;
        }
        for (DiskOperation later : operations.subList(index + 1, operations.size())) {
            if (later.endNanos() > nowNanos) {
                return false;
            }
            if (covers(later, operation)) {
                return true;
            }
        }
        return operation instanceof SyncFile || operation instanceof SyncDirectory;
    }

    /** Returns whether {@code sync} makes an earlier operation durable. */
    private static boolean covers(DiskOperation sync, DiskOperation operation) {
        if (operation instanceof Write write) {
            return isSyncOf(sync, write.file());
        }
        if (operation instanceof Truncate truncate) {
            return isSyncOf(sync, truncate.file());
        }
        if (operation instanceof Create create) {
            return sync instanceof SyncDirectory || isSyncOf(sync, create.file());
        }
        return sync instanceof SyncDirectory;
    }

    private static boolean isSyncOf(DiskOperation operation, int file) {
        return operation instanceof SyncFile sync && sync.file() == file;
    }

    private static void apply(DiskOperation operation, DiskImage image) {
        if (operation instanceof Create create) {
            image.create(create.name(), create.file());
        } else if (operation instanceof Remove remove) {
            image.remove(remove.name());
        } else if (operation instanceof Write write) {
            image.write(write.file(), write.position(), write.data());
        } else if (operation instanceof Truncate truncate) {
            image.truncate(truncate.file(), truncate.size());
        }
    }
}
