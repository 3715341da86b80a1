package burlarch.storage;

import java.io.IOException;
import java.util.List;

/**
 * The file operations of one flat folder, as far as durability hangs on them.
 *
 * <p>After a loss of power a file holds what its last {@link DiskFile#force} covered; of what was written
 * later, any part may be there. A new file lasts by its own force, a removal by {@link #syncDirectory}.
 */
public interface Disk {
    /** Names of the files. */
    List<String> listFiles() throws IOException;

    /** Makes an empty file; fails if there is one of this name. */
    DiskFile create(String name) throws IOException;

    /** Opens a file that is there. */
    DiskFile open(String name) throws IOException;

    /** Removes a file; one that isn't there is no error. */
    void remove(String name) throws IOException;

    /** Makes lasting which files there are. */
    void syncDirectory() throws IOException;
}
