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
 *
 * <p><b>Torn or damaged.</b> What was written after the last sync may be missing after a loss of power, in
 * whole or in part: a torn tail, which nobody counted on. A record tells by its kind whether all before it
 * was synced when it was written ({@link #BEHIND_SYNCED}). So where such a record is intact behind a part
 * that can't be read, that part was synced and is damaged: {@link #damage}. The last sync itself leaves no
 * such trace until the next record is written; damage to what it covered looks like a torn tail.
 */
final class Segment {
    static final int HEADER_BYTES = 17;

    private static final int CHECKSUM_AT = 4;
    private static final int CHECKED_AT = 8;
    private static final byte SNAPSHOT = 'S';
    /** A record before which all was synced. */
    private static final byte BEHIND_SYNCED = 'R';
    /** A record that was written behind others before these were synced. */
    private static final byte BEHIND_UNSYNCED = 'U';
    /** How far sequences of one file lie apart at the most; bounds what a search takes for a record. */
    private static final long MOST_SEQUENCES = 1L << 32;
    /** How much behind an unreadable part is searched: a whole segment of the usual size and more. */
    private static final int MOST_SEARCHED_BYTES = 32 << 20;

    private static final String PREFIX = "segment-";

    /** An intact record, whatever its place. */
    private record StoredRecord(long sequence, byte kind, byte[] data) {}

    private final long number;
    private final DiskFile file;
    private final List<byte[]> records = new ArrayList<>();
    private long lastSequence;
    private long size;
    private long syncedEnd;
    private long end;
    private boolean tailSuspect;
    private long lastSyncedBehindGap;

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
            disk.syncDirectory();
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

    /** Length of the file when it was opened. */
    long size() {
        return size;
    }

    long end() {
        return end;
    }

    /**
     * The sequence of a record that proves that what can't be read before it was synced once; 0 where there
     * is none. A file whose readable part reaches less far than this has lost what counted.
     */
    long provenSequence() {
        return lastSyncedBehindGap;
    }

    /** What is to be said of a file that {@link #provenSequence} shows as damaged. */
    DamagedLogException damage() {
        return new DamagedLogException(name(number), end);
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
            write(end == syncedEnd ? BEHIND_SYNCED : BEHIND_UNSYNCED, sequence, data);
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
        size = file.sizeBytes();
        StoredRecord record = readRecord(end);
        while (record != null && follows(record)) {
            records.add(record.data());
            lastSequence = record.sequence();
            end += HEADER_BYTES + record.data().length;
            record = readRecord(end);
        }
        syncedEnd = end;
        tailSuspect = end < size;
        if (tailSuspect) {
            searchBehindGap();
        }
    }

    private boolean follows(StoredRecord record) {
        boolean fits = end == 0 ? record.kind() == SNAPSHOT : record.kind() != SNAPSHOT;
        return fits && record.sequence() > lastSequence;
    }

    /** Looks at each byte for the beginning of a record that shows what was synced before it. */
    private void searchBehindGap() throws IOException {
        byte[] rest = new byte[(int) Math.min(size - end, MOST_SEARCHED_BYTES)];
        file.read(end, ByteBuffer.wrap(rest));
        ByteBuffer bytes = ByteBuffer.wrap(rest);
        for (int at = 1; at + HEADER_BYTES <= rest.length; at++) {
            if (rest[at + HEADER_BYTES - 1] == BEHIND_SYNCED && mayFollow(bytes.getLong(at + CHECKED_AT))) {
                StoredRecord record = readRecord(end + at);
                if (record != null) {
                    lastSyncedBehindGap = Math.max(lastSyncedBehindGap, record.sequence());
                }
            }
        }
    }

    private boolean mayFollow(long sequence) {
        return sequence > lastSequence && sequence - lastSequence < MOST_SEQUENCES;
    }

    /** The record that begins at a position, or null where none is intact there. */
    private StoredRecord readRecord(long position) throws IOException {
        if (size - position < HEADER_BYTES) {
            return null;
        }
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        file.read(position, header);
        int length = header.getInt(0);
        if (length < 0 || length > SegmentedLog.MAX_RECORD_BYTES || length > size - position - HEADER_BYTES) {
            return null;
        }
        ByteBuffer whole = ByteBuffer.allocate(HEADER_BYTES + length).put(header.array());
        file.read(position + HEADER_BYTES, whole);
        if (header.getInt(CHECKSUM_AT) != checksum(length, whole.array())) {
            return null;
        }
        return new StoredRecord(
                header.getLong(CHECKED_AT),
                header.get(HEADER_BYTES - 1),
                Arrays.copyOfRange(whole.array(), HEADER_BYTES, HEADER_BYTES + length));
    }

    private static int checksum(int length, byte[] record) {
        CRC32C checksum = new CRC32C();
        checksum.update(record, 0, CHECKSUM_AT);
        checksum.update(record, CHECKED_AT, HEADER_BYTES - CHECKED_AT + length);
        return (int) checksum.getValue();
    }
}
