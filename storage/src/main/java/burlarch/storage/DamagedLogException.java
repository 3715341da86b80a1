package burlarch.storage;

import java.io.IOException;

/**
 * Thrown if synced records can no longer be read, so that the disk may hold an older state than the one on which this
 * acceptor based its replies.
 *
 * <p><b>Cause:</b> bytes on the medium changed, or a file of the log was removed, after a successful sync.
 *
 * <p><b>Handling:</b> do not retry, as opening again gives the same result. The acceptor must not vote under its
 * identity. {@link DamagedLogQuarantine} sets the log aside; the disk then starts with a new identity, as another
 * acceptor.
 */
public final class DamagedLogException extends IOException {
    private static final long serialVersionUID = 1L;

    DamagedLogException(String fileName, long offsetBytes) {
        super(fileName + " is damaged at byte " + offsetBytes
                + ": synced records cannot be read, so this acceptor must not vote");
    }
}
