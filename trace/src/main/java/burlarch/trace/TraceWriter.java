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
 * Writes a trace, block by block: what a cut file has lost is at most the block that was open. One thread's.
 */
public final class TraceWriter implements AutoCloseable {
    private final DataOutputStream out;
    private final Map<String, Integer> texts = new LinkedHashMap<>();
    private final ByteArrayOutputStream raw = new ByteArrayOutputStream(1 << 16);
    private final Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
    private int inBlock;
    private long written;
    private long lastNanos;
    private long blockStartNanos;
    private boolean closed;

    /** @param startedAtMs Unix time at which the trace begins; 0 where it has none */
    public TraceWriter(OutputStream file, long startedAtMs) throws IOException {
        out = new DataOutputStream(file);
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        DataOutputStream fields = new DataOutputStream(head);
        fields.write(Format.MAGIC);
        fields.writeShort(Format.VERSION);
        fields.writeLong(startedAtMs);
        byte[] bytes = head.toByteArray();
        out.write(bytes);
        out.writeInt(Format.crc(bytes, 0, bytes.length));
    }

    /** @throws IllegalArgumentException where it is due before the one before it, or a text is too long */
    public void write(TraceRecord record) throws IOException {
        if (record.dueNanos() < lastNanos) {
            throw new IllegalArgumentException(
                    "a record due at " + record.dueNanos() + " behind one due at " + lastNanos);
        }
        if (inBlock == 0) {
            blockStartNanos = lastNanos;
        }
        int requestClass = text(record.requestClass());
        int tenant = text(record.tenant());
        int key = text(record.key());
        number(raw, record.dueNanos() - lastNanos);
        number(raw, requestClass);
        number(raw, tenant);
        number(raw, key);
        raw.write(record.write() ? Format.FLAG_WRITE : 0);
        number(raw, record.timeoutMs());
        number(raw, record.costMicros());
        number(raw, record.bodyBytes());
        lastNanos = record.dueNanos();
        written++;
        if (++inBlock == Format.BLOCK_RECORDS) {
            flush();
        }
    }

    private int text(String text) {
        if (text.length() > Format.TEXT_MOST) {
            throw new IllegalArgumentException("a text of " + text.length() + " characters");
        }
        Integer known = texts.putIfAbsent(text, texts.size());
        return known == null ? texts.size() - 1 : known;
    }

    /** Ends the open block: what was written until now is safe from a cut behind it. */
    public void flush() throws IOException {
        if (inBlock == 0) {
            return;
        }
        ByteArrayOutputStream block = new ByteArrayOutputStream(raw.size() + 1024);
        number(block, blockStartNanos);
        number(block, texts.size());
        for (String text : texts.keySet()) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            number(block, bytes.length);
            block.writeBytes(bytes);
        }
        raw.writeTo(block);
        byte[] plain = block.toByteArray();
        byte[] packed = pack(plain);
        out.writeByte(Format.BLOCK);
        out.writeInt(inBlock);
        out.writeInt(plain.length);
        out.writeInt(packed.length);
        out.writeInt(Format.crc(packed, 0, packed.length));
        out.write(packed);
        out.flush();
        inBlock = 0;
        texts.clear();
        raw.reset();
    }

    private byte[] pack(byte[] plain) {
        deflater.reset();
        deflater.setInput(plain);
        deflater.finish();
        ByteArrayOutputStream packed = new ByteArrayOutputStream(plain.length / 2 + 64);
        byte[] buffer = new byte[8192];
        while (!deflater.finished()) {
            packed.write(buffer, 0, deflater.deflate(buffer));
        }
        return packed.toByteArray();
    }

    /** Seven bits a byte, the low ones first, the top bit where more follow. */
    private static void number(ByteArrayOutputStream to, long value) {
        long left = value;
        while ((left & ~0x7fL) != 0) {
            to.write((int) (left & 0x7f | 0x80));
            left >>>= 7;
        }
        to.write((int) left);
    }

    public long written() {
        return written;
    }

    /** Writes the end mark, without which a reader takes the file for cut. */
    @Override
    public void close() throws IOException {
        if (closed) {
            return;
        }
        closed = true;
        try (out) {
            flush();
            ByteArrayOutputStream end = new ByteArrayOutputStream(9);
            DataOutputStream fields = new DataOutputStream(end);
            fields.writeByte(Format.END);
            fields.writeLong(written);
            out.write(end.toByteArray());
            out.writeInt(Format.crc(end.toByteArray(), 0, 9));
        } finally {
            deflater.end();
        }
    }
}
