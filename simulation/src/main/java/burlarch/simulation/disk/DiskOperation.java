package burlarch.simulation.disk;

/** An operation that a process requested of its disk, with the span of virtual time for which it was in progress. */
sealed interface DiskOperation {
    /** When the disk began the operation, in nanoseconds of virtual time. */
    long beginNanos();

    /** When the caller got the result, in nanoseconds of virtual time. */
    long endNanos();

    /** Creates an empty file. */
    record Create(long beginNanos, long endNanos, String name, int file) implements DiskOperation {}

    /** Removes a name from the directory. */
    record Remove(long beginNanos, long endNanos, String name) implements DiskOperation {}

    /** Writes data into a file. */
    record Write(long beginNanos, long endNanos, int file, int position, byte[] data) implements DiskOperation {}

    /** Shortens a file. */
    record Truncate(long beginNanos, long endNanos, int file, int size) implements DiskOperation {}

    /** Makes a file's content durable, and with it the creation of the file. */
    record SyncFile(long beginNanos, long endNanos, int file) implements DiskOperation {}

    /** Makes the directory durable: which names there are. */
    record SyncDirectory(long beginNanos, long endNanos) implements DiskOperation {}
}
