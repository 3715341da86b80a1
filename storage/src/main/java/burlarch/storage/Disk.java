package burlarch.storage;

import java.io.IOException;
import java.util.List;

/**
 * A flat directory of files, with the operations on which durability depends.
 *
 * <p><b>What survives a power failure.</b> A file keeps the content that its last {@link DiskFile#force} covered; of
 * later writes, any part may survive. The directory entry of a new file is durable after the file's own force; the
 * removal of an entry is durable after {@link #syncDirectory}.
 *
 * <p>Used by one thread at a time. Every method may block on the device. After an {@link IOException} the operation
 * may have been performed in part, and the caller may retry it.
 */
public interface Disk {
    /** Returns the names of all files, in no particular order. */
    List<String> listFiles() throws IOException;

    /** Creates an empty file and opens it; fails if a file of this name exists. */
    DiskFile create(String name) throws IOException;

    /** Opens an existing file for reading and writing; fails if it does not exist. */
    DiskFile open(String name) throws IOException;

    /** Removes a file; succeeds if no file of this name exists. */
    void remove(String name) throws IOException;

    /** Makes creations and removals durable. */
    void syncDirectory() throws IOException;
}
