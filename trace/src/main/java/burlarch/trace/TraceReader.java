package burlarch.trace;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Inflater;

/**
 * Reads the records of a trace file in order and keeps one block in memory at a time. A truncated or altered file
 * always causes a {@link TraceException} with the offset; it is never read as a shorter trace. Not thread-safe.
 */
public final class TraceReader implements AutoCloseable {
    private final String name;
    private final DataInputStream input;
    private final long startedAtMs;
    private long offset;
    private byte[] block = new byte[0];
    private int position;
    private long blockOffset;
    private String[] strings = {};
    private int recordsLeftInBlock;
    private long lastNanos;
    private long readRecords;
    private boolean ended;

    /**
     * Opens a trace file and checks its header.
     *
     * @throws TraceException if the file is not a trace of the supported version
     */
    public TraceReader(Path file) throws IOException {
        this(file.toString(), Files.newInputStream(file));
    }

    TraceReader(String name, InputStream file) throws IOException {
        this.name = name;
        this.input = new DataInputStream(new BufferedInputStream(file, 1 << 16));
        try {
            byte[] header = readBytes(Format.MAGIC.length + 2 + 8, "the file header");
            if (!Arrays.equals(Arrays.copyOf(header, Format.MAGIC.length), Format.MAGIC)) {
                throw new TraceException(name, 0, "not a trace file");
            }
            int version = (header[8] & 0xff) << 8 | header[9] & 0xff;
            if (version != Format.VERSION) {
                throw new TraceException(
                        name, 8, "unsupported trace version " + version + ", expected " + Format.VERSION);
            }
            startedAtMs = java.nio.ByteBuffer.wrap(header, 10, 8).getLong();
            verifyChecksum(
                    Format.crc(header, 0, header.length),
                    readInt(readBytes(4, "the file header"), 0),
                    0,
                    "the file header");
        } catch (IOException | RuntimeException e) {
            input.close();
            throw e;
        }
    }

    /** Unix time in milliseconds at which the trace begins; 0 if it has none. */
    public long startedAtMs() {
        return startedAtMs;
    }

    /**
     * Returns the next record, or null after the end mark.
     *
     * @throws TraceException if the file is truncated or damaged
     */
    public TraceRecord next() throws IOException {
        while (recordsLeftInBlock == 0) {
            if (ended || !nextBlock()) {
                return null;
            }
        }
        try {
            recordsLeftInBlock--;
            long dueNanos = lastNanos + readVarint();
            String requestClass = readString();
            String tenant = readString();
            String key = readString();
            int flags = block[position++];
            int timeoutMs = (int) readVarint();
            TraceRecord record = new TraceRecord(
                    dueNanos,
                    requestClass,
                    tenant,
                    key,
                    (flags & Format.WRITE_FLAG) != 0,
                    timeoutMs,
                    readVarint(),
                    (int) readVarint());
            if (dueNanos < lastNanos) {
                throw new TraceException(name, blockOffset, "a record is due before its predecessor");
            }
            lastNanos = dueNanos;
            readRecords++;
            if (recordsLeftInBlock == 0 && position != block.length) {
                throw new TraceException(name, blockOffset, "a block has bytes after its last record");
            }
            return record;
        } catch (IndexOutOfBoundsException e) {
            throw new TraceException(name, blockOffset, "a record exceeds its block");
        }
    }

    /** Reads the next block; returns false at the end mark. */
    private boolean nextBlock() throws IOException {
        long start = offset;
        int mark = readBytes(1, "the next block or the end mark")[0];
        if (mark == Format.END_MARK) {
            byte[] end = new byte[9];
            end[0] = Format.END_MARK;
            System.arraycopy(readBytes(8, "the end mark"), 0, end, 1, 8);
            verifyChecksum(Format.crc(end, 0, 9), readInt(readBytes(4, "the end mark"), 0), start, "the end mark");
            long count = java.nio.ByteBuffer.wrap(end, 1, 8).getLong();
            if (count != readRecords) {
                throw new TraceException(name, start, count + " records were written, " + readRecords + " were read");
            }
            if (input.read() >= 0) {
                throw new TraceException(name, offset, "bytes behind the end mark");
            }
            ended = true;
            return false;
        }
        if (mark != Format.BLOCK_MARK) {
            throw new TraceException(name, start, "expected a block or the end mark");
        }
        byte[] header = readBytes(16, "a block header");
        int plainLength = readInt(header, 4);
        int compressedLength = readInt(header, 8);
        recordsLeftInBlock = readInt(header, 0);
        if (recordsLeftInBlock <= 0
                || recordsLeftInBlock > Format.MAX_BLOCK_RECORDS
                || plainLength <= 0
                || plainLength > Format.MAX_BLOCK_BYTES
                || compressedLength <= 0
                || compressedLength > Format.MAX_BLOCK_BYTES) {
            throw new TraceException(name, start, "a block header is damaged");
        }
        byte[] compressed = readBytes(compressedLength, "a block");
        verifyChecksum(Format.crc(compressed, 0, compressed.length), readInt(header, 12), start, "a block");
        block = decompress(compressed, plainLength, start);
        blockOffset = start;
        position = 0;
        try {
            lastNanos = readVarint();
            strings = new String[(int) Math.min(readVarint(), plainLength)];
            for (int i = 0; i < strings.length; i++) {
                int length = (int) readVarint();
                strings[i] = new String(block, position, length, StandardCharsets.UTF_8);
                position += length;
            }
        } catch (IndexOutOfBoundsException e) {
            throw new TraceException(name, start, "a string table exceeds its block");
        }
        return true;
    }

    private byte[] decompress(byte[] compressed, int length, long start) throws TraceException {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(compressed);
            byte[] plain = new byte[length];
            int filled = 0;
            while (filled < length) {
                int inflated = inflater.inflate(plain, filled, length - filled);
                if (inflated == 0) {
                    break;
                }
                filled += inflated;
            }
            if (filled != length) {
                throw new TraceException(name, start, "a block is shorter than its header says");
            }
            return plain;
        } catch (DataFormatException e) {
            throw new TraceException(name, start, "a block cannot be decompressed");
        } finally {
            inflater.end();
        }
    }

    /** Reads exactly {@code count} bytes; {@code part} names them in the error message. */
    private byte[] readBytes(int count, String part) throws IOException {
        byte[] bytes = new byte[count];
        try {
            input.readFully(bytes);
        } catch (EOFException e) {
            throw new TraceException(name, offset, "the file is truncated in " + part);
        }
        offset += count;
        return bytes;
    }

    private void verifyChecksum(int expected, int actual, long start, String part) throws TraceException {
        if (expected != actual) {
            throw new TraceException(name, start, part + " is damaged: checksum mismatch");
        }
    }

    private static int readInt(byte[] bytes, int from) {
        return java.nio.ByteBuffer.wrap(bytes, from, 4).getInt();
    }

    /** Reads an unsigned LEB128 integer from the block. */
    private long readVarint() {
        long value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            byte next = block[position++];
            value |= (long) (next & 0x7f) << shift;
            if (next >= 0) {
                return value;
            }
        }
        throw new IndexOutOfBoundsException("variable-length integer exceeds 64 bits");
    }

    private String readString() {
        return strings[(int) readVarint()];
    }

    @Override
    public void close() throws IOException {
        input.close();
    }
}
