package burlarch.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/** An open file of a {@link Disk}. Used by one thread at a time; the code that opened it closes it. */
public interface DiskFile extends Closeable {
    /** Returns the length in bytes. */
    long sizeBytes() throws IOException;

    /** Fills the buffer with the bytes that begin at a position; fails if the file ends before the buffer is full. */
    void read(long position, ByteBuffer into) throws IOException;

    /** Writes the buffer's remaining bytes at a position. After a failure, any part of them may have been written. */
    void write(long position, ByteBuffer from) throws IOException;

    /** Truncates the file to this length. */
    void truncate(long sizeBytes) throws IOException;

    /** Makes the content, the length and the directory entry of the file durable. */
    void force() throws IOException;
}
