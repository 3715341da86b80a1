package burlarch.simulation.disk;

/** Something that was asked of a disk, and when it was under way. */
sealed interface DiskOperation {
    /** When the disk took it up, in virtual time. */
    long beginNanos();

    /** When the caller got its answer. */
    long endNanos();

    record Create(long beginNanos, long endNanos, String name, int file) implements DiskOperation {}

    record Remove(long beginNanos, long endNanos, String name) implements DiskOperation {}

    record Write(long beginNanos, long endNanos, int file, int position, byte[] data) implements DiskOperation {}

    record Truncate(long beginNanos, long endNanos, int file, int size) implements DiskOperation {}

    record SyncFile(long beginNanos, long endNanos, int file) implements DiskOperation {}

    record SyncDirectory(long beginNanos, long endNanos) implements DiskOperation {}
}
