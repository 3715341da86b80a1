package burlarch.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * One file of the log. A record is its length, a checksum, its sequence, its kind and the bytes.
 *
 * <p>The first record is a snapshot, and sequences rise; what doesn't fit this ends the readable part.
 */
final class Segment {
    static final int HEADER_BYTES = 17;

    private static final int CHECKSUM_AT = 4;
    private static final int CHECKED_AT = 8;
    private static final byte SNAPSHOT = 'S';
    private static final byte RECORD = 'R';
    private static final String PREFIX = "segment-";

    private final long number;
    private final DiskFile file;
    private final List<byte[]> records = new ArrayList<>();
    private long lastSequence;
    private long syncedEnd;
    private long end;
    private boolean tailSuspect;

    private Segment(long number, DiskFile file) {
        this.number = number;
        this.file = file;
    }

    /** Number that a file name stands for, or -1 for a file that is no segment. */
    static long numberOf(String name) {
        if (!name.startsWith(PREFIX)) {
            return -1;
        }
        try {
            return Long.parseLong(name.substring(PREFIX.length()));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    static String name(long number) {
        return PREFIX + number;
    }

    /** Makes a file that holds the snapshot, synced. */
    static Segment create(Disk disk, long number, long sequence, byte[] snapshot) throws IOException {
        Segment segment = new Segment(number, disk.create(name(number)));
        try {
            segment.write(SNAPSHOT, sequence, snapshot);
            segment.sync();
            disk.syncFolder();
            return segment;
        } catch (IOException e) {
            segment.closeQuietly();
            throw e;
        }
    }

    /** Opens a file and reads what is intact; {@link #isReadable} is false where not even the snapshot is. */
    static Segment open(Disk disk, long number) throws IOException {
        Segment segment = new Segment(number, disk.open(name(number)));
        try {
            segment.scan();
            return segment;
        } catch (IOException e) {
            segment.closeQuietly();
            throw e;
        }
    }

    long number() {
        return number;
    }

    boolean isReadable() {
        return end > 0;
    }

    long lastSequence() {
        return lastSequence;
    }

    long end() {
        return end;
    }

    /** The snapshot and the records after it, as read at opening; handed out once. */
    List<byte[]> takeRecords() {
        List<byte[]> taken = List.copyOf(records);
        records.clear();
        return taken;
    }

    /** Appends without sync; after a failure all is undone that came since the last sync. */
    void append(long sequence, byte[] data) throws IOException {
        if (tailSuspect) {
            cutTail();
        }
        try {
            write(RECORD, sequence, data);
        } catch (IOException e) {
            giveUpTail();
            throw e;
        }
    }

    /** Makes lasting what was appended; after a failure all of that is undone. */
    void sync() throws IOException {
        try {
            file.force();
        } catch (IOException e) {
            giveUpTail();
            throw e;
        }
        syncedEnd = end;
    }

    void closeQuietly() {
        try {
            file.close();
        } catch (IOException e) {
            // Nothing hangs on it: what had to last was synced before.
        }
    }

    private void giveUpTail() {
        tailSuspect = true;
        end = syncedEnd;
    }

    /** What was given up must not be found behind records that are written in its place. */
    private void cutTail() throws IOException {
        file.truncate(syncedEnd);
        file.force();
        tailSuspect = false;
    }

    private void write(byte kind, long sequence, byte[] data) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + data.length);
        buffer.putInt(data.length).putInt(0).putLong(sequence).put(kind).put(data);
        buffer.putInt(CHECKSUM_AT, checksum(data.length, buffer.array()));
        buffer.flip();
        file.write(end, buffer);
        end += HEADER_BYTES + data.length;
        lastSequence = sequence;
    }

    private void scan() throws IOException {
        long size = file.size();
        boolean more = true;
        while (more) {
            more = scanRecord(size);
        }
        syncedEnd = end;
        tailSuspect = end < size;
    }

    private boolean scanRecord(long size) throws IOException {
        if (size - end < HEADER_BYTES) {
            return false;
        }
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        file.read(end, header);
        int length = header.getInt(0);
        if (length < 0 || length > SegmentedLog.MOST_RECORD_BYTES || length > size - end - HEADER_BYTES) {
            return false;
        }
        ByteBuffer whole = ByteBuffer.allocate(HEADER_BYTES + length).put(header.array());
        file.read(end + HEADER_BYTES, whole);
        long sequence = header.getLong(CHECKED_AT);
        byte kind = header.get(HEADER_BYTES - 1);
        if (header.getInt(CHECKSUM_AT) != checksum(length, whole.array()) || sequence <= lastSequence
                || kind != (end == 0 ? SNAPSHOT : RECORD)) {
            return false;
        }
        records.add(Arrays.copyOfRange(whole.array(), HEADER_BYTES, HEADER_BYTES + length));
        lastSequence = sequence;
        end += HEADER_BYTES + length;
        return true;
    }

    private static int checksum(int length, byte[] record) {
        CRC32C checksum = new CRC32C();
        checksum.update(record, 0, CHECKSUM_AT);
        checksum.update(record, CHECKED_AT, HEADER_BYTES - CHECKED_AT + length);
        return (int) checksum.getValue();
    }
}
