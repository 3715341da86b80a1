package burlarch.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * One record of a segment, with its encoding on disk. Integers are big-endian.
 *
 * <pre>
 *   offset  bytes  field
 *   0       4      length of the payload
 *   4       4      CRC-32C of all other bytes of the record
 *   8       8      sequence number
 *   16      1      kind
 *   17      n      payload
 * </pre>
 *
 * @param sequence sequence number of the record; it increases across all records and segments of a log
 * @param kind one of the constants of this class; a byte of another value is kept as it was read, since a record of a
 *     kind that a later release added still counts as intact
 * @param payload the bytes that the log's user appended
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
    /** Like {@link #AFTER_SYNCED}, but followed by a {@link #COPY}. */
    static final byte MIRRORED_AFTER_SYNCED = 'M';
    /** Like {@link #AFTER_UNSYNCED}, but followed by a {@link #COPY}. */
    static final byte MIRRORED_AFTER_UNSYNCED = 'N';
    /** A copy of the preceding record, with the next sequence number. */
    static final byte COPY = 'C';
    /** A copy of the preceding snapshot, with the next sequence number. */
    static final byte SNAPSHOT_COPY = 'D';

    private static final int CHECKSUM_OFFSET = 4;
    private static final int SEQUENCE_OFFSET = 8;
    private static final int KIND_OFFSET = 16;

    /** Returns the copy that follows this record in a mirrored log. */
    SegmentRecord copy() {
        return new SegmentRecord(sequence + 1, kind == SNAPSHOT ? SNAPSHOT_COPY : COPY, payload);
    }

    /**
     * Returns whether this kind of record is always followed by its copy. False for a snapshot, which has a copy only
     * in a mirrored log.
     */
    boolean hasCopy() {
        return kind == MIRRORED_AFTER_SYNCED || kind == MIRRORED_AFTER_UNSYNCED;
    }

    /** Returns whether this is a copy of the preceding record. */
    boolean isCopy() {
        return kind == COPY || kind == SNAPSHOT_COPY;
    }

    /** Returns whether a record of this kind proves that everything before it was synced when it was written. */
    static boolean provesSync(byte kind) {
        return kind == AFTER_SYNCED || kind == MIRRORED_AFTER_SYNCED;
    }

    /** Returns the encoded length of the record. */
    int sizeBytes() {
        return HEADER_BYTES + payload.length;
    }

    /** Returns the encoded record, ready to be written. */
    ByteBuffer encode() {
        ByteBuffer buffer = ByteBuffer.allocate(sizeBytes());
        buffer.putInt(payload.length).putInt(0).putLong(sequence).put(kind).put(payload);
        buffer.putInt(CHECKSUM_OFFSET, checksum(payload.length, buffer.array()));
        return buffer.flip();
    }

    /**
     * Reads the record that begins at a position of a file.
     *
     * @param fileSizeBytes length of the file
     * @return the record; empty if no intact record begins there
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

    /** Returns the kind of a record that begins at this offset, without checking that an intact record does. */
    static byte kindAt(ByteBuffer bytes, int offset) {
        return bytes.get(offset + KIND_OFFSET);
    }

    /**
     * Returns the sequence number of a record that begins at this offset, without checking that an intact record does.
     */
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
