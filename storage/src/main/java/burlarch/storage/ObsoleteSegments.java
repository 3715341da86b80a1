package burlarch.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Tracks the segments that a newer one replaced, or that a failed creation left, until they are removed.
 *
 * <p>Removal may fail, or be reverted by a power failure. That is harmless: the sequence numbers of an obsolete
 * segment are below those of the current one, so {@link LogRecovery} does not select it (invariant <i>increasing
 * sequence numbers</i>).
 */
final class ObsoleteSegments {
    private final Disk disk;
    private final List<String> fileNames = new ArrayList<>();

    ObsoleteSegments(Disk disk) {
        this.disk = disk;
    }

    void add(String fileName) {
        fileNames.add(fileName);
    }

    /** Excludes a file from removal. */
    void keep(String fileName) {
        fileNames.remove(fileName);
    }

    boolean contains(String fileName) {
        return fileNames.contains(fileName);
    }

    int count() {
        return fileNames.size();
    }

    List<String> fileNames() {
        return List.copyOf(fileNames);
    }

    /** Removes the segments; those whose removal fails are retried at the next call. */
    void removeAll() {
        if (fileNames.isEmpty()) {
            return;
        }
        try {
            for (Iterator<String> names = fileNames.iterator(); names.hasNext(); ) {
                disk.remove(names.next());
                names.remove();
            }
            disk.syncDirectory();
        } catch (IOException e) {
            // Harmless, see the class comment; SegmentedLog limits how many may remain.
        }
    }
}
