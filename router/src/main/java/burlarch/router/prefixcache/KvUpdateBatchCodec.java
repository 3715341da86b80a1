package burlarch.router.prefixcache;

import static java.nio.charset.StandardCharsets.UTF_8;

import burlarch.engine.KvUpdate;
import burlarch.routing.KvEvents;
import burlarch.routing.KvEvents.KvEvent;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Codec of the binary format in which routers publish updates to one another: a version, the salts as strings, then
 * for each update its source, epoch, offsets and events. Numbers are varints with seven bits per byte, lowest bits
 * first. Segment ids take four bytes if the id fits into them, and eight otherwise. The model of an event is omitted,
 * as the salt identifies it. Stateless.
 */
public final class KvUpdateBatchCodec {
    private static final int VERSION = 1;
    /** Flags of an update. */
    private static final int SNAPSHOT_FLAG = 1;

    private static final int LOST_FLAG = 2;
    /** Flags of an event, stored in the low {@link #FLAG_BITS} bits of its first number. */
    private static final int ADDED_FLAG = 1;

    private static final int WIDE_SEGMENT_FLAG = 2;
    private static final int FLAG_BITS = 2;
    private static final int MAX_STRING_BYTES = 1_024;

    private KvUpdateBatchCodec() {}

    /** Thrown if bytes are not a batch of the supported version; no part of them may be used. */
    public static final class MalformedBatchException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedBatchException(String message) {
            super(message);
        }
    }

    /** Encodes a batch in the format that {@link #decode} reads. */
    public static byte[] encode(List<KvUpdate> batch) {
        Map<String, Integer> salts = collectSalts(batch);
        Output output = new Output();
        output.write(VERSION);
        output.writeVarint(salts.size());
        salts.keySet().forEach(output::writeString);
        output.writeVarint(batch.size());
        for (KvUpdate update : batch) {
            encode(update, salts, output);
        }
        return output.toByteArray();
    }

    private static Map<String, Integer> collectSalts(List<KvUpdate> batch) {
        Map<String, Integer> salts = new LinkedHashMap<>();
        for (KvUpdate update : batch) {
            for (KvEvent event : update.events().events()) {
                salts.putIfAbsent(event.salt(), salts.size());
            }
        }
        return salts;
    }

    private static void encode(KvUpdate update, Map<String, Integer> salts, Output output) {
        KvEvents events = update.events();
        output.write((update.snapshot() ? SNAPSHOT_FLAG : 0) | (events.lost() ? LOST_FLAG : 0));
        output.writeString(events.source());
        output.writeVarint(events.epoch());
        output.writeVarint(update.since());
        output.writeVarint(update.next() - update.since());
        output.writeVarint(events.events().size());
        for (KvEvent event : events.events()) {
            boolean wide = event.segment() >>> Integer.SIZE != 0;
            int flags = (event.added() ? ADDED_FLAG : 0) | (wide ? WIDE_SEGMENT_FLAG : 0);
            output.writeVarint((long) salts.get(event.salt()) << FLAG_BITS | flags);
            output.writeFixed(event.segment(), wide ? Long.BYTES : Integer.BYTES);
            output.writeVarint(event.tokens());
        }
    }

    /**
     * Decodes a batch that {@link #encode} has produced.
     *
     * @throws MalformedBatchException if the bytes are truncated, malformed or of another version
     */
    public static List<KvUpdate> decode(byte[] bytes) throws MalformedBatchException {
        Input input = new Input(bytes);
        try {
            return decode(input);
        } catch (IndexOutOfBoundsException e) {
            throw new MalformedBatchException("truncated after " + bytes.length + " bytes");
        }
    }

    private static List<KvUpdate> decode(Input input) throws MalformedBatchException {
        if (input.readByte() != VERSION) {
            throw new MalformedBatchException("version is not supported");
        }
        int count = input.readCount();
        String[] salts = new String[count];
        for (int i = 0; i < count; i++) {
            salts[i] = input.readString();
        }
        int updateCount = input.readCount();
        List<KvUpdate> batch = new ArrayList<>(updateCount);
        for (int i = 0; i < updateCount; i++) {
            batch.add(decodeUpdate(input, salts));
        }
        return batch;
    }

    private static KvUpdate decodeUpdate(Input input, String[] salts) throws MalformedBatchException {
        int flags = input.readByte();
        String source = input.readString();
        long epoch = input.readVarint();
        long since = input.readVarint();
        long next = since + input.readVarint();
        int count = input.readCount();
        List<KvEvent> events = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long saltAndFlags = input.readVarint();
            String salt = salts[(int) Math.min(saltAndFlags >>> FLAG_BITS, Integer.MAX_VALUE)];
            long segment = input.readFixed((saltAndFlags & WIDE_SEGMENT_FLAG) != 0 ? Long.BYTES : Integer.BYTES);
            events.add(new KvEvent((saltAndFlags & ADDED_FLAG) != 0, salt, segment, (int) input.readVarint(), ""));
        }
        KvEvents decoded = new KvEvents(source, epoch, (flags & LOST_FLAG) != 0, events);
        return new KvUpdate(decoded, (flags & SNAPSHOT_FLAG) != 0, since, next);
    }

    /** Writer of encoded values. */
    private static final class Output extends ByteArrayOutputStream {
        private static final int INITIAL_BYTES = 512;

        Output() {
            super(INITIAL_BYTES);
        }

        void writeVarint(long value) {
            long remainingBits = value;
            while ((remainingBits & ~0x7FL) != 0) {
                write((int) (remainingBits & 0x7F | 0x80));
                remainingBits >>>= 7;
            }
            write((int) remainingBits);
        }

        void writeFixed(long value, int size) {
            for (int shift = (size - 1) * Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
                write((int) (value >>> shift));
            }
        }

        void writeString(String text) {
            byte[] bytes = text.getBytes(UTF_8);
            writeVarint(bytes.length);
            write(bytes, 0, bytes.length);
        }
    }

    /** Reader of encoded values; each read beyond the end throws IndexOutOfBoundsException. */
    private static final class Input {
        private static final int MAX_SHIFT = 63;

        private final byte[] bytes;
        private int offset;

        Input(byte[] bytes) {
            this.bytes = bytes;
        }

        int readByte() {
            return bytes[offset++] & 0xff;
        }

        long readVarint() throws MalformedBatchException {
            long value = 0;
            for (int shift = 0; shift <= MAX_SHIFT; shift += 7) {
                int nextByte = readByte();
                value |= (long) (nextByte & 0x7F) << shift;
                if (nextByte < 0x80) {
                    return value;
                }
            }
            throw new MalformedBatchException("varint is too long");
        }

        /** Reads a number of items that take at least one byte each. */
        int readCount() throws MalformedBatchException {
            long count = readVarint();
            if (count < 0 || count > bytes.length - offset) {
                throw new MalformedBatchException("count out of range: " + count);
            }
            return (int) count;
        }

        long readFixed(int size) {
            long value = 0;
            for (int i = 0; i < size; i++) {
                value = value << Byte.SIZE | readByte();
            }
            return value;
        }

        String readString() throws MalformedBatchException {
            int length = readCount();
            if (length > MAX_STRING_BYTES) {
                throw new MalformedBatchException("string is too long: bytes=" + length);
            }
            String text = new String(bytes, offset, length, UTF_8);
            offset += length;
            return text;
        }
    }
}
