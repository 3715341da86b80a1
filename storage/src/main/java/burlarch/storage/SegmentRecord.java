package burlarch.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * One record of a segment, and its form on disk: integers are big-endian.
 *
 * <pre>
 *   offset  bytes  field
 *   0       4      length of the payload
 *   4       4      CRC-32C of all other bytes of the record
 *   8       8      sequence
 *   16      1      kind
 *   17      n      payload
 * </pre>
 *
 * @param sequence number of the record; it rises over all records and segments of a log
 * @param kind one of the constants of this class; a byte of another value is kept as it was read, since a record of a
 *     later program's kind still counts as intact
 * @param payload what the log's user wrote
 */
record SegmentRecord(long sequence, byte kind, byte[] payload) {
    /** Bytes before the payload. */
    static final int HEADER_BYTES = 17;
    /** The first record of a segment: it replaces all records of earlier segments. */
    static final byte SNAPSHOT = 'S';
    /** A record that was written when everything before it in the segment had been synced. */
    static final byte AFTER_SYNCED = 'R';
    /** A record that was written when something before it in the segment had not been synced yet. */
    static final byte AFTER_UNSYNCED = 'U';
    /** As {@link #AFTER_SYNCED}; a {@link #COPY} follows. */
    static final byte MIRRORED_AFTER_SYNCED = 'M';
    /** As {@link #AFTER_UNSYNCED}; a {@link #COPY} follows. */
    static final byte MIRRORED_AFTER_UNSYNCED = 'N';
    /** The payload of the record before it once more, under the next sequence. */
    static final byte COPY = 'C';
    /** The snapshot before it once more, under the next sequence. */
    static final byte SNAPSHOT_COPY = 'D';

    private static final int CHECKSUM_OFFSET = 4;
    private static final int SEQUENCE_OFFSET = 8;
    private static final int KIND_OFFSET = 16;

    /** Returns the copy that follows this record in a mirrored log. */
    SegmentRecord copy() {
        return new SegmentRecord(sequence + 1, kind == SNAPSHOT ? SNAPSHOT_COPY : COPY, payload);
    }

    /** Returns whether a copy of this record follows. Not of a snapshot, which has one in a mirrored log only. */
    boolean hasCopy() {
        return kind == MIRRORED_AFTER_SYNCED || kind == MIRRORED_AFTER_UNSYNCED;
    }

    /** Returns whether this is a copy of the record before it. */
    boolean isCopy() {
        return kind == COPY || kind == SNAPSHOT_COPY;
    }

    /** Returns whether the record proves that all before it had been synced when it was written. */
    static boolean provesSync(byte kind) {
        return kind == AFTER_SYNCED || kind == MIRRORED_AFTER_SYNCED;
    }

    /** Returns the length of the record on disk. */
    int sizeBytes() {
        return HEADER_BYTES + payload.length;
    }

    /** Returns the record in its form on disk, ready to be written. */
    ByteBuffer encode() {
        ByteBuffer buffer = ByteBuffer.allocate(sizeBytes());
        buffer.putInt(payload.length).putInt(0).putLong(sequence).put(kind).put(payload);
        buffer.putInt(CHECKSUM_OFFSET, checksum(payload.length, buffer.array()));
        return buffer.flip();
    }

    /**
     * Reads the record that begins at a position of a file.
     *
     * @param fileSizeBytes where the file ends
     * @return the record; empty if no intact one begins there
     */
    static Optional<SegmentRecord> read(DiskFile file, long position, long fileSizeBytes) throws IOException {
        if (fileSizeBytes - position < HEADER_BYTES) {
            return Optional.empty();
        }
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        file.read(position, header);
        int length = header.getInt(0);
        if (length < 0 || length > SegmentedLog.MAX_RECORD_BYTES || length > fileSizeBytes - position - HEADER_BYTES) {
            return Optional.empty();
        }
        ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + length).put(header.array());
        file.read(position + HEADER_BYTES, record);
        byte[] bytes = record.array();
        if (header.getInt(CHECKSUM_OFFSET) != checksum(length, bytes)) {
            return Optional.empty();
        }
        byte[] payload = Arrays.copyOfRange(bytes, HEADER_BYTES, bytes.length);
        return Optional.of(new SegmentRecord(header.getLong(SEQUENCE_OFFSET), header.get(KIND_OFFSET), payload));
    }

    /** Returns the kind that a record would have that begins at this offset; cheap, and without any check. */
    static byte kindAt(ByteBuffer bytes, int offset) {
        return bytes.get(offset + KIND_OFFSET);
    }

    /** Returns the sequence that a record would have that begins at this offset; cheap, and without any check. */
    static long sequenceAt(ByteBuffer bytes, int offset) {
        return bytes.getLong(offset + SEQUENCE_OFFSET);
    }

    private static int checksum(int payloadLength, byte[] record) {
        CRC32C checksum = new CRC32C();
        checksum.update(record, 0, CHECKSUM_OFFSET);
        checksum.update(record, SEQUENCE_OFFSET, HEADER_BYTES - SEQUENCE_OFFSET + payloadLength);
        return (int) checksum.getValue();
    }
}
