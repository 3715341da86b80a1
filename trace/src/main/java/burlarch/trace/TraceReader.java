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
 * Reads a trace, one record after another, a block in memory at a time. A file that is cut or altered ends in
 * a {@link TraceException} with the offset, never in a trace that is silently short.
 */
public final class TraceReader implements AutoCloseable {
    private final String name;
    private final DataInputStream in;
    private final long startedAtMs;
    private long offset;
    private byte[] block = new byte[0];
    private int at;
    private long blockOffset;
    private String[] texts = {};
    private int leftInBlock;
    private long lastNanos;
    private long read;
    private boolean ended;

    /** @throws TraceException where it is no trace of this version */
    public TraceReader(Path file) throws IOException {
        this(file.toString(), Files.newInputStream(file));
    }

    TraceReader(String name, InputStream file) throws IOException {
        this.name = name;
        this.in = new DataInputStream(new BufferedInputStream(file, 1 << 16));
        try {
            byte[] head = bytes(Format.MAGIC.length + 2 + 8, "the head");
            if (!Arrays.equals(Arrays.copyOf(head, Format.MAGIC.length), Format.MAGIC)) {
                throw new TraceException(name, 0, "this is no trace");
            }
            int version = (head[8] & 0xff) << 8 | head[9] & 0xff;
            if (version != Format.VERSION) {
                throw new TraceException(
                        name, 8, "a trace of version " + version + ", and this reads " + Format.VERSION);
            }
            startedAtMs = java.nio.ByteBuffer.wrap(head, 10, 8).getLong();
            check(Format.crc(head, 0, head.length), integer(bytes(4, "the head"), 0), 0, "the head");
        } catch (IOException | RuntimeException e) {
            in.close();
            throw e;
        }
    }

    /** Unix time at which it begins; 0 where it has none. */
    public long startedAtMs() {
        return startedAtMs;
    }

    /** @return the next record; null at the end that the writer wrote */
    public TraceRecord next() throws IOException {
        while (leftInBlock == 0) {
            if (ended || !nextBlock()) {
                return null;
            }
        }
        try {
            leftInBlock--;
            long dueNanos = lastNanos + number();
            String requestClass = text();
            String tenant = text();
            String key = text();
            int flags = block[at++];
            int timeoutMs = (int) number();
            TraceRecord record = new TraceRecord(
                    dueNanos, requestClass, tenant, key, (flags & Format.FLAG_WRITE) != 0, timeoutMs, number(), (int)
                            number());
            if (dueNanos < lastNanos) {
                throw new TraceException(name, blockOffset, "a record that is due before the one before it");
            }
            lastNanos = dueNanos;
            read++;
            if (leftInBlock == 0 && at != block.length) {
                throw new TraceException(name, blockOffset, "a block with more than its records");
            }
            return record;
        } catch (IndexOutOfBoundsException e) {
            throw new TraceException(name, blockOffset, "a block whose records do not fit it");
        }
    }

    private boolean nextBlock() throws IOException {
        long start = offset;
        int kind = bytes(1, "the next block or the end mark")[0];
        if (kind == Format.END) {
            byte[] end = new byte[9];
            end[0] = Format.END;
            System.arraycopy(bytes(8, "the end mark"), 0, end, 1, 8);
            check(Format.crc(end, 0, 9), integer(bytes(4, "the end mark"), 0), start, "the end mark");
            long count = java.nio.ByteBuffer.wrap(end, 1, 8).getLong();
            if (count != read) {
                throw new TraceException(name, start, count + " records were written, " + read + " are here");
            }
            if (in.read() >= 0) {
                throw new TraceException(name, offset, "more behind the end mark");
            }
            ended = true;
            return false;
        }
        if (kind != Format.BLOCK) {
            throw new TraceException(name, start, "no block begins here");
        }
        byte[] head = bytes(16, "a block's head");
        int plainLength = integer(head, 4);
        int packedLength = integer(head, 8);
        leftInBlock = integer(head, 0);
        if (leftInBlock <= 0
                || leftInBlock > Format.BLOCK_RECORDS
                || plainLength <= 0
                || plainLength > Format.BLOCK_BYTES_MOST
                || packedLength <= 0
                || packedLength > Format.BLOCK_BYTES_MOST) {
            throw new TraceException(name, start, "a block whose head is damaged");
        }
        byte[] packed = bytes(packedLength, "a block");
        check(Format.crc(packed, 0, packed.length), integer(head, 12), start, "a block");
        block = unpack(packed, plainLength, start);
        blockOffset = start;
        at = 0;
        try {
            lastNanos = number();
            texts = new String[(int) Math.min(number(), plainLength)];
            for (int i = 0; i < texts.length; i++) {
                int length = (int) number();
                texts[i] = new String(block, at, length, StandardCharsets.UTF_8);
                at += length;
            }
        } catch (IndexOutOfBoundsException e) {
            throw new TraceException(name, start, "a block whose texts do not fit it");
        }
        return true;
    }

    private byte[] unpack(byte[] packed, int length, long start) throws TraceException {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(packed);
            byte[] plain = new byte[length];
            int got = 0;
            while (got < length) {
                int more = inflater.inflate(plain, got, length - got);
                if (more == 0) {
                    break;
                }
                got += more;
            }
            if (got != length) {
                throw new TraceException(name, start, "a block that is shorter than it says");
            }
            return plain;
        } catch (DataFormatException e) {
            throw new TraceException(name, start, "a block that can't be unpacked");
        } finally {
            inflater.end();
        }
    }

    private byte[] bytes(int count, String what) throws IOException {
        byte[] bytes = new byte[count];
        try {
            in.readFully(bytes);
        } catch (EOFException e) {
            throw new TraceException(name, offset, "the file is cut in " + what);
        }
        offset += count;
        return bytes;
    }

    private void check(int expected, int found, long start, String what) throws TraceException {
        if (expected != found) {
            throw new TraceException(name, start, what + " is damaged: its checksum is wrong");
        }
    }

    private static int integer(byte[] bytes, int from) {
        return java.nio.ByteBuffer.wrap(bytes, from, 4).getInt();
    }

    private long number() {
        long value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            byte b = block[at++];
            value |= (long) (b & 0x7f) << shift;
            if (b >= 0) {
                return value;
            }
        }
        throw new IndexOutOfBoundsException("a number without end");
    }

    private String text() {
        return texts[(int) number()];
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
