package burlarch.storage;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** A file behind a channel; moves bytes in pieces, as the JVM keeps a native buffer of the largest one. */
final class FileChannelDiskFile implements DiskFile {
    private static final int PIECE_BYTES = 64 * 1024;

    private final FileChannel channel;

    FileChannelDiskFile(FileChannel channel) {
        this.channel = channel;
    }

    @Override
    public long sizeBytes() throws IOException {
        return channel.size();
    }

    @Override
    public void read(long position, ByteBuffer into) throws IOException {
        long at = position;
        while (into.hasRemaining()) {
            ByteBuffer piece = nextPiece(into);
            int count = channel.read(piece, at);
            if (count < 0) {
                throw new EOFException("the file ends at " + at);
            }
            at += count;
            into.position(into.position() + count);
        }
    }

    @Override
    public void write(long position, ByteBuffer from) throws IOException {
        long at = position;
        while (from.hasRemaining()) {
            int count = channel.write(nextPiece(from), at);
            at += count;
            from.position(from.position() + count);
        }
    }

    @Override
    public void truncate(long size) throws IOException {
        channel.truncate(size);
    }

    @Override
    public void force() throws IOException {
        channel.force(true);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    private static ByteBuffer nextPiece(ByteBuffer buffer) {
        return buffer.slice(buffer.position(), Math.min(buffer.remaining(), PIECE_BYTES));
    }
}
