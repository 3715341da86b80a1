package burlarch.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/** An open file. */
public interface DiskFile extends Closeable {
    /** Length in bytes. */
    long sizeBytes() throws IOException;

    /** Fills the buffer from a position on; fails if the file ends before. */
    void read(long position, ByteBuffer into) throws IOException;

    /** Writes all that remains in the buffer; after a failure any part of it may be there. */
    void write(long position, ByteBuffer from) throws IOException;

    /** Cuts the file to this many bytes. */
    void truncate(long size) throws IOException;

    /** Makes content and length lasting. */
    void force() throws IOException;
}
