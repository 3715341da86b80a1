package burlarch.simulation.disk;

/** Something that was asked of a disk, and when it was under way. */
sealed interface DiskOperation {
    /** When the disk took it up, in virtual time. */
    long begin();

    /** When the caller got its answer. */
    long end();

    record Create(long begin, long end, String name, int file) implements DiskOperation {}

    record Remove(long begin, long end, String name) implements DiskOperation {}

    record Write(long begin, long end, int file, int position, byte[] data) implements DiskOperation {}

    record Truncate(long begin, long end, int file, int size) implements DiskOperation {}

    record Force(long begin, long end, int file) implements DiskOperation {}

    record SyncFolder(long begin, long end) implements DiskOperation {}
}
