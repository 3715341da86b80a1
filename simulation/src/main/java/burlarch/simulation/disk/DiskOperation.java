package burlarch.simulation.disk;

/** A state-changing disk call made by a process, with the interval of virtual time that it took. */
sealed interface DiskOperation {
    /** Returns when the disk began the operation, in nanoseconds of virtual time. */
    long beginNanos();

    /** Returns when the call returned to its caller, in nanoseconds of virtual time. */
    long endNanos();

    /** Creates an empty file. */
    record Create(long beginNanos, long endNanos, String name, int file) implements DiskOperation {}

    /** Removes a directory entry. */
    record Remove(long beginNanos, long endNanos, String name) implements DiskOperation {}

    /** Writes data into a file at a byte offset. */
    record Write(long beginNanos, long endNanos, int file, int position, byte[] data) implements DiskOperation {}

    /** Truncates a file to a size in bytes. */
    record Truncate(long beginNanos, long endNanos, int file, int size) implements DiskOperation {}

    /** Makes the content of a file durable, together with the creation of the file. */
    record SyncFile(long beginNanos, long endNanos, int file) implements DiskOperation {}

    /** Makes the directory durable: the creation and removal of names. */
    record SyncDirectory(long beginNanos, long endNanos) implements DiskOperation {}
}
