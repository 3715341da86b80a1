package burlarch.simulation.disk;

import burlarch.simulation.disk.DiskOperation.Create;
import burlarch.simulation.disk.DiskOperation.Force;
import burlarch.simulation.disk.DiskOperation.Remove;
import burlarch.simulation.disk.DiskOperation.SyncFolder;
import burlarch.simulation.disk.DiskOperation.Truncate;
import burlarch.simulation.disk.DiskOperation.Write;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * What was asked of a disk since all of it was last known to be lasting, and what is left of it after an end.
 */
final class DiskJournal {
    private DiskContent lasting = new DiskContent();
    private final List<DiskOperation> operations = new ArrayList<>();

    void add(DiskOperation operation) {
        operations.add(operation);
    }

    /** Takes {@code content} as lasting if every operation so far was made so; else nothing. */
    void settle(DiskContent content, long now) {
        for (int i = 0; i < operations.size(); i++) {
            if (operations.get(i).end() > now || !isLasting(i, now)) {
                return;
            }
        }
        lasting = content.copy();
        operations.clear();
    }

    int size() {
        return operations.size();
    }

    /** After the process ended: what it had asked for, in order. */
    DiskContent afterKill(long now) {
        DiskContent content = lasting.copy();
        operations.removeIf(operation -> operation.begin() > now);
        operations.forEach(operation -> apply(operation, content));
        return content;
    }

    /**
     * After the machine lost its power: of what was not synced each is there, not there, or there in part.
     */
    DiskContent afterPowerLoss(long now, Random random) {
        DiskContent content = lasting.copy();
        for (int i = 0; i < operations.size(); i++) {
            DiskOperation operation = operations.get(i);
            if (operation.begin() > now) {
                break;
            }
            if (isLasting(i, now)) {
                apply(operation, content);
            } else if (random.nextInt(3) > 0) {
                apply(
                        operation instanceof Write write && random.nextBoolean() ? torn(write, random) : operation,
                        content);
            }
        }
        operations.clear();
        lasting = content.copy();
        return content;
    }

    /** After a loss of power where nothing was synced, but all came to the medium in order, up to a point. */
    DiskContent afterOrderedLoss(long now, Random random) {
        operations.removeIf(operation -> operation.begin() > now);
        int kept = random.nextInt(operations.size() + 1);
        DiskContent content = lasting.copy();
        operations.subList(0, kept).forEach(operation -> apply(operation, content));
        operations.clear();
        lasting = content.copy();
        return content;
    }

    private static Write torn(Write write, Random random) {
        byte[] data = write.data().clone();
        if (data.length > 0 && random.nextBoolean()) {
            data = Arrays.copyOf(data, random.nextInt(data.length));
        } else if (data.length > 0) {
            // The length came to last, a piece of the content did not.
            int from = random.nextInt(data.length);
            Arrays.fill(data, from, Math.min(data.length, from + 1 + random.nextInt(64)), (byte) 0);
        }
        return new Write(write.begin(), write.end(), write.file(), write.position(), data);
    }

    private boolean isLasting(int index, long now) {
        DiskOperation operation = operations.get(index);
        if (operation.end() > now) {
            return false;
        }
        for (DiskOperation later : operations.subList(index + 1, operations.size())) {
            if (later.end() > now) {
                return false;
            }
            if (makesLasting(later, operation)) {
                return true;
            }
        }
        return operation instanceof Force || operation instanceof SyncFolder;
    }

    private static boolean makesLasting(DiskOperation later, DiskOperation operation) {
        if (operation instanceof Write write) {
            return later instanceof Force force && force.file() == write.file();
        }
        if (operation instanceof Truncate truncate) {
            return later instanceof Force force && force.file() == truncate.file();
        }
        if (operation instanceof Create create) {
            return later instanceof SyncFolder || later instanceof Force force && force.file() == create.file();
        }
        return later instanceof SyncFolder;
    }

    private static void apply(DiskOperation operation, DiskContent content) {
        if (operation instanceof Create create) {
            content.create(create.name(), create.file());
        } else if (operation instanceof Remove remove) {
            content.remove(remove.name());
        } else if (operation instanceof Write write) {
            content.write(write.file(), write.position(), write.data());
        } else if (operation instanceof Truncate truncate) {
            content.truncate(truncate.file(), truncate.size());
        }
    }
}
