package burlarch.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads the file of one segment from its start.
 *
 * <p><b>Readable part.</b> The first record must be a snapshot, all others must not be one, and sequences must rise.
 * The readable part ends where no such record begins.
 *
 * <p><b>Torn tail or damage</b> (invariant <i>proof of sync</i>). What was written after the last sync may be lost in
 * a power failure, in whole or in part. That is a torn tail, and it is harmless: nothing of it was acknowledged.
 * Damage to synced records is a loss. The two are told apart by the kind of the records behind the readable part: a
 * record of the kind {@link SegmentRecord#AFTER_SYNCED} was written only when everything before it had been synced.
 * If such a record is intact behind bytes that cannot be read, then those bytes were synced and are damaged.
 *
 * <p><b>Limit.</b> The last sync leaves no such record until the next record is written. Damage to what only that sync
 * covered looks like a torn tail and is not detected.
 */
final class SegmentScanner {
    /** Sequences of one segment differ by less than this; it keeps random bytes from being taken for a record. */
    private static final long MAX_SEQUENCE_DISTANCE = 1L << 32;
    /** How much behind the readable part is searched: more than a segment of the default size. */
    private static final int MAX_SEARCHED_BYTES = 32 << 20;

    private final DiskFile file;
    private final long fileSizeBytes;
    private final List<byte[]> payloads = new ArrayList<>();
    private long lastSequence;
    private long readableBytes;

    private SegmentScanner(DiskFile file, long fileSizeBytes) {
        this.file = file;
        this.fileSizeBytes = fileSizeBytes;
    }

    /** Scans an open file, which stays open. */
    static SegmentScan scan(DiskFile file) throws IOException {
        SegmentScanner scanner = new SegmentScanner(file, file.sizeBytes());
        scanner.readRecords();
        boolean hasTail = scanner.readableBytes < scanner.fileSizeBytes;
        long provenSyncedSequence = hasTail ? scanner.searchProofOfSync() : 0;
        return new SegmentScan(
                List.copyOf(scanner.payloads),
                scanner.lastSequence,
                scanner.readableBytes,
                scanner.fileSizeBytes,
                provenSyncedSequence);
    }

    private void readRecords() throws IOException {
        Optional<SegmentRecord> next = recordAt(readableBytes);
        while (next.isPresent() && mayFollow(next.get())) {
            SegmentRecord record = next.get();
            payloads.add(record.payload());
            lastSequence = record.sequence();
            readableBytes += record.sizeBytes();
            next = recordAt(readableBytes);
        }
    }

    private boolean mayFollow(SegmentRecord record) {
        boolean isFirst = readableBytes == 0;
        boolean isSnapshot = record.kind() == SegmentRecord.SNAPSHOT;
        return isFirst == isSnapshot && record.sequence() > lastSequence;
    }

    /**
     * Looks at each byte behind the readable part for the beginning of an intact record that proves a sync. The kind
     * and the sequence are compared first, as reading a record and its checksum at each byte would take too long.
     *
     * @return the highest sequence of such a record, or 0
     */
    private long searchProofOfSync() throws IOException {
        byte[] tail = new byte[(int) Math.min(fileSizeBytes - readableBytes, MAX_SEARCHED_BYTES)];
        ByteBuffer bytes = ByteBuffer.wrap(tail);
        file.read(readableBytes, bytes);
        long highest = 0;
        for (int offset = 1; offset + SegmentRecord.HEADER_BYTES <= tail.length; offset++) {
            if (looksLikeProofOfSync(bytes, offset)) {
                Optional<SegmentRecord> record = recordAt(readableBytes + offset);
                highest = Math.max(highest, record.map(SegmentRecord::sequence).orElse(0L));
            }
        }
        return highest;
    }

    private boolean looksLikeProofOfSync(ByteBuffer bytes, int offset) {
        if (SegmentRecord.kindAt(bytes, offset) != SegmentRecord.AFTER_SYNCED) {
            return false;
        }
        long sequence = SegmentRecord.sequenceAt(bytes, offset);
        return sequence > lastSequence && sequence - lastSequence < MAX_SEQUENCE_DISTANCE;
    }

    private Optional<SegmentRecord> recordAt(long position) throws IOException {
        return SegmentRecord.read(file, position, fileSizeBytes);
    }
}
