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
 * Binary format of the updates that routers publish to one another: a version, the salts as texts, then for
 * each update its source, epoch, offsets and events. Numbers are varints of seven bits a byte, the low ones
 * first; ids of segments have four bytes if these suffice and eight otherwise. The model of an event is left out:
 * the salt identifies it. Stateless.
 */
public final class KvUpdateBatchCodec {
    private static final int VERSION = 1;
    private static final int SNAPSHOT = 1;
    private static final int LOST = 2;
    private static final int ADDED = 1;
    private static final int WIDE = 2;
    private static final int FLAG_BITS = 2;
    private static final int MAX_TEXT_BYTES = 1_024;

    private KvUpdateBatchCodec() {}

    /** The bytes are no batch of this version; nothing of them may be used. */
    public static final class MalformedBatchException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedBatchException(String message) {
            super(message);
        }
    }

    /** The bytes of a batch, in the format that {@link #decode} reads. */
    public static byte[] encode(List<KvUpdate> batch) {
        Map<String, Integer> salts = salts(batch);
        Output out = new Output();
        out.write(VERSION);
        out.number(salts.size());
        salts.keySet().forEach(out::text);
        out.number(batch.size());
        for (KvUpdate update : batch) {
            encode(update, salts, out);
        }
        return out.toByteArray();
    }

    private static Map<String, Integer> salts(List<KvUpdate> batch) {
        Map<String, Integer> salts = new LinkedHashMap<>();
        for (KvUpdate update : batch) {
            for (KvEvent event : update.events().events()) {
                salts.putIfAbsent(event.salt(), salts.size());
            }
        }
        return salts;
    }

    private static void encode(KvUpdate update, Map<String, Integer> salts, Output out) {
        KvEvents events = update.events();
        out.write((update.snapshot() ? SNAPSHOT : 0) | (events.lost() ? LOST : 0));
        out.text(events.source());
        out.number(events.epoch());
        out.number(update.since());
        out.number(update.next() - update.since());
        out.number(events.events().size());
        for (KvEvent event : events.events()) {
            boolean wide = event.segment() >>> Integer.SIZE != 0;
            int flags = (event.added() ? ADDED : 0) | (wide ? WIDE : 0);
            out.number((long) salts.get(event.salt()) << FLAG_BITS | flags);
            out.fixed(event.segment(), wide ? Long.BYTES : Integer.BYTES);
            out.number(event.tokens());
        }
    }

    /**
     * Decodes what {@link #encode} has produced.
     *
     * @throws MalformedBatchException if the bytes are truncated, malformed or of another version
     */
    public static List<KvUpdate> decode(byte[] bytes) throws MalformedBatchException {
        Input in = new Input(bytes);
        try {
            return decode(in);
        } catch (IndexOutOfBoundsException e) {
            throw new MalformedBatchException("truncated after " + bytes.length + " bytes");
        }
    }

    private static List<KvUpdate> decode(Input in) throws MalformedBatchException {
        if (in.next() != VERSION) {
            throw new MalformedBatchException("unknown version");
        }
        int count = in.count();
        String[] salts = new String[count];
        for (int i = 0; i < count; i++) {
            salts[i] = in.text();
        }
        int updates = in.count();
        List<KvUpdate> batch = new ArrayList<>(updates);
        for (int i = 0; i < updates; i++) {
            batch.add(update(in, salts));
        }
        return batch;
    }

    private static KvUpdate update(Input in, String[] salts) throws MalformedBatchException {
        int flags = in.next();
        String source = in.text();
        long epoch = in.number();
        long since = in.number();
        long next = since + in.number();
        int count = in.count();
        List<KvEvent> events = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long head = in.number();
            String salt = salts[(int) Math.min(head >>> FLAG_BITS, Integer.MAX_VALUE)];
            long segment = in.fixed((head & WIDE) != 0 ? Long.BYTES : Integer.BYTES);
            events.add(new KvEvent((head & ADDED) != 0, salt, segment, (int) in.number(), ""));
        }
        KvEvents decoded = new KvEvents(source, epoch, (flags & LOST) != 0, events);
        return new KvUpdate(decoded, (flags & SNAPSHOT) != 0, since, next);
    }

    private static final class Output extends ByteArrayOutputStream {
        private static final int INITIAL_BYTES = 512;

        Output() {
            super(INITIAL_BYTES);
        }

        void number(long value) {
            long rest = value;
            while ((rest & ~0x7FL) != 0) {
                write((int) (rest & 0x7F | 0x80));
                rest >>>= 7;
            }
            write((int) rest);
        }

        void fixed(long value, int size) {
            for (int shift = (size - 1) * Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
                write((int) (value >>> shift));
            }
        }

        void text(String text) {
            byte[] bytes = text.getBytes(UTF_8);
            number(bytes.length);
            write(bytes, 0, bytes.length);
        }
    }

    /** Every read beyond the end throws IndexOutOfBoundsException. */
    private static final class Input {
        private static final int MAX_SHIFT = 63;

        private final byte[] bytes;
        private int offset;

        Input(byte[] bytes) {
            this.bytes = bytes;
        }

        int next() {
            return bytes[offset++] & 0xff;
        }

        long number() throws MalformedBatchException {
            long value = 0;
            for (int shift = 0; shift <= MAX_SHIFT; shift += 7) {
                int read = next();
                value |= (long) (read & 0x7F) << shift;
                if (read < 0x80) {
                    return value;
                }
            }
            throw new MalformedBatchException("number too long");
        }

        /** A count of items that take at least one byte each. */
        int count() throws MalformedBatchException {
            long count = number();
            if (count < 0 || count > bytes.length - offset) {
                throw new MalformedBatchException("count out of range: " + count);
            }
            return (int) count;
        }

        long fixed(int size) {
            long value = 0;
            for (int i = 0; i < size; i++) {
                value = value << Byte.SIZE | next();
            }
            return value;
        }

        String text() throws MalformedBatchException {
            int length = count();
            if (length > MAX_TEXT_BYTES) {
                throw new MalformedBatchException("text too long: bytes=" + length);
            }
            String text = new String(bytes, offset, length, UTF_8);
            offset += length;
            return text;
        }
    }
}
