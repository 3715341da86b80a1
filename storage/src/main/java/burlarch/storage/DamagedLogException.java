package burlarch.storage;

import java.io.IOException;

/**
 * Records that were synced can no longer be read, so the disk may hold an older state than the one this acceptor
 * answered with.
 *
 * <p><b>Cause:</b> bytes on the medium changed, or a file of the log was removed, after a successful sync.
 *
 * <p><b>What the caller may do:</b> opening again gives the same result, so there is no retry. The acceptor must not
 * vote under its identity. The log is set aside ({@link DamagedLogQuarantine}); the disk then comes back with a new
 * identity, as another acceptor.
 */
public final class DamagedLogException extends IOException {
    private static final long serialVersionUID = 1L;

    DamagedLogException(String fileName, long offsetBytes) {
        super(fileName + " is damaged at byte " + offsetBytes
                + ": synced records cannot be read, so this acceptor must not vote");
    }
}
