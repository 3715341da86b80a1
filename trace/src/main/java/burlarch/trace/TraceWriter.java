package burlarch.trace;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.Deflater;

/**
 * Writes a trace file block by block, so that an interrupted write loses at most the open block. Not thread-safe.
 */
public final class TraceWriter implements AutoCloseable {
    private final DataOutputStream output;
    private final Map<String, Integer> strings = new LinkedHashMap<>();
    private final ByteArrayOutputStream blockRecords = new ByteArrayOutputStream(1 << 16);
    private final Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
    private int recordsInBlock;
    private long written;
    private long lastNanos;
    private long blockStartNanos;
    private boolean closed;

    /**
     * Writes the file header.
     *
     * @param startedAtMs Unix time in milliseconds at which the trace begins; 0 if it has none
     */
    public TraceWriter(OutputStream file, long startedAtMs) throws IOException {
        output = new DataOutputStream(file);
        ByteArrayOutputStream header = new ByteArrayOutputStream();
        DataOutputStream fields = new DataOutputStream(header);
        fields.write(Format.MAGIC);
        fields.writeShort(Format.VERSION);
        fields.writeLong(startedAtMs);
        byte[] bytes = header.toByteArray();
        output.write(bytes);
        output.writeInt(Format.crc(bytes, 0, bytes.length));
    }

    /**
     * Appends a record.
     *
     * @throws IllegalArgumentException if the record is due before its predecessor, or one of its strings is too long
     */
    public void write(TraceRecord record) throws IOException {
        if (record.dueNanos() < lastNanos) {
            throw new IllegalArgumentException(
                    "a record due at " + record.dueNanos() + " ns after one due at " + lastNanos);
        }
        if (recordsInBlock == 0) {
            blockStartNanos = lastNanos;
        }
        int requestClass = stringIndex(record.requestClass());
        int tenant = stringIndex(record.tenant());
        int key = stringIndex(record.key());
        writeVarint(blockRecords, record.dueNanos() - lastNanos);
        writeVarint(blockRecords, requestClass);
        writeVarint(blockRecords, tenant);
        writeVarint(blockRecords, key);
        blockRecords.write(record.write() ? Format.WRITE_FLAG : 0);
        writeVarint(blockRecords, record.timeoutMs());
        writeVarint(blockRecords, record.costMicros());
        writeVarint(blockRecords, record.bodyBytes());
        lastNanos = record.dueNanos();
        written++;
        if (++recordsInBlock == Format.MAX_BLOCK_RECORDS) {
            flush();
        }
    }

    /** Returns the index of a string in the block's string table, and adds it if absent. */
    private int stringIndex(String text) {
        if (text.length() > Format.MAX_STRING_LENGTH) {
            throw new IllegalArgumentException("a string is too long: " + text.length() + " characters");
        }
        Integer existingIndex = strings.putIfAbsent(text, strings.size());
        return existingIndex == null ? strings.size() - 1 : existingIndex;
    }

    /** Ends and writes the open block, so that its records survive a later truncation of the file. */
    public void flush() throws IOException {
        if (recordsInBlock == 0) {
            return;
        }
        ByteArrayOutputStream block = new ByteArrayOutputStream(blockRecords.size() + 1024);
        writeVarint(block, blockStartNanos);
        writeVarint(block, strings.size());
        for (String text : strings.keySet()) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            writeVarint(block, bytes.length);
            block.writeBytes(bytes);
        }
        blockRecords.writeTo(block);
        byte[] plain = block.toByteArray();
        byte[] compressed = compress(plain);
        output.writeByte(Format.BLOCK_MARK);
        output.writeInt(recordsInBlock);
        output.writeInt(plain.length);
        output.writeInt(compressed.length);
        output.writeInt(Format.crc(compressed, 0, compressed.length));
        output.write(compressed);
        output.flush();
        recordsInBlock = 0;
        strings.clear();
        blockRecords.reset();
    }

    private byte[] compress(byte[] plain) {
        deflater.reset();
        deflater.setInput(plain);
        deflater.finish();
        ByteArrayOutputStream compressed = new ByteArrayOutputStream(plain.length / 2 + 64);
        byte[] buffer = new byte[8192];
        while (!deflater.finished()) {
            compressed.write(buffer, 0, deflater.deflate(buffer));
        }
        return compressed.toByteArray();
    }

    /** Writes an unsigned LEB128 integer: seven bits a byte, low bits first; the top bit marks a following byte. */
    private static void writeVarint(ByteArrayOutputStream output, long value) {
        long remaining = value;
        while ((remaining & ~0x7fL) != 0) {
            output.write((int) (remaining & 0x7f | 0x80));
            remaining >>>= 7;
        }
        output.write((int) remaining);
    }

    /** Number of records written so far. */
    public long written() {
        return written;
    }

    /** Writes the end mark; without it, readers treat the file as truncated. */
    @Override
    public void close() throws IOException {
        if (closed) {
            return;
        }
        closed = true;
        try (output) {
            flush();
            ByteArrayOutputStream end = new ByteArrayOutputStream(9);
            DataOutputStream fields = new DataOutputStream(end);
            fields.writeByte(Format.END_MARK);
            fields.writeLong(written);
            output.write(end.toByteArray());
            output.writeInt(Format.crc(end.toByteArray(), 0, 9));
        } finally {
            deflater.end();
        }
    }
}
