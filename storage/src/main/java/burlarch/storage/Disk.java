package burlarch.storage;

import java.io.IOException;
import java.util.List;

/**
 * The operations on one flat directory that durability depends on.
 *
 * <p><b>What survives a power failure.</b> A file keeps the content that its last {@link DiskFile#force} covered; of
 * what was written after that, any part may survive. The directory entry of a new file is durable after the file's own
 * force; the removal of an entry is durable after {@link #syncDirectory}.
 *
 * <p>One thread at a time. Every method may block on the device; an {@link IOException} says that the operation may
 * have happened in part, and the caller may try it again.
 */
public interface Disk {
    /** Returns the names of all files, in no particular order. */
    List<String> listFiles() throws IOException;

    /** Creates an empty file and opens it; fails if a file of this name exists. */
    DiskFile create(String name) throws IOException;

    /** Opens an existing file for reading and writing; fails if there is none. */
    DiskFile open(String name) throws IOException;

    /** Removes a file; succeeds if there is none of this name. */
    void remove(String name) throws IOException;

    /** Makes creations and removals durable. */
    void syncDirectory() throws IOException;
}
