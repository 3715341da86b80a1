package burlarch.storage;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/**
 * A {@link DiskFile} on a {@link FileChannel}. Bytes are transferred in chunks, since the JVM keeps a native buffer
 * per thread that is as large as the largest transfer; without chunks it would keep the size of the largest record.
 */
final class FileChannelDiskFile implements DiskFile {
    private static final int CHUNK_BYTES = 64 * 1024;

    private final FileChannel channel;

    /** Takes ownership of the channel: {@link #close} closes it. */
    FileChannelDiskFile(FileChannel channel) {
        this.channel = channel;
    }

    @Override
    public long sizeBytes() throws IOException {
        return channel.size();
    }

    @Override
    public void read(long position, ByteBuffer into) throws IOException {
        long offset = position;
        while (into.hasRemaining()) {
            int count = channel.read(nextChunk(into), offset);
            if (count < 0) {
                throw new EOFException("unexpected end of file at byte " + offset);
            }
            offset += count;
            into.position(into.position() + count);
        }
    }

    @Override
    public void write(long position, ByteBuffer from) throws IOException {
        long offset = position;
        while (from.hasRemaining()) {
            int count = channel.write(nextChunk(from), offset);
            offset += count;
            from.position(from.position() + count);
        }
    }

    @Override
    public void truncate(long sizeBytes) throws IOException {
        channel.truncate(sizeBytes);
    }

    @Override
    public void force() throws IOException {
        channel.force(true);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    private static ByteBuffer nextChunk(ByteBuffer buffer) {
        return buffer.slice(buffer.position(), Math.min(buffer.remaining(), CHUNK_BYTES));
    }
}
