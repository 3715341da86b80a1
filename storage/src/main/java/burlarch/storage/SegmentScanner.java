package burlarch.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads the records of one segment file and finds torn or damaged parts.
 *
 * <p><b>Readable part.</b> The first record must be a snapshot, all others must not be one, and sequence numbers must
 * increase. The readable part ends where no such record begins and no copy replaces what is missing.
 *
 * <p><b>Copies.</b> In a mirrored log, the copy of a record has the next sequence number. Unreadable bytes (a gap) are
 * skipped if the sequence number of the record behind them and the length of the gap show that the gap held a copy of
 * a record that was read, or a record whose copy is intact, or both.
 *
 * <p><b>Torn tail or damage</b> (invariant <i>proof of sync</i>). Data written after the last sync may be lost in a
 * power failure, in whole or in part. That is a torn tail, and it is harmless, as none of it was acknowledged. Damage
 * to synced records is a loss. The two are distinguished by the kind of the records behind the readable part: a record
 * that {@link SegmentRecord#provesSync} was written only when everything before it was synced. If such a record is
 * intact behind unreadable bytes, those bytes were synced and are damaged.
 *
 * <p><b>Limit.</b> No such record exists for the last sync until the next record is written. Damage to data that only
 * that sync covered (in a mirrored log: to both copies) looks like a torn tail and is not detected.
 */
final class SegmentScanner {
    /** Upper bound of the difference of sequence numbers in one segment; rules out most random bytes as a record. */
    private static final long MAX_SEQUENCE_DISTANCE = 1L << 32;
    /** Limit of the search behind the readable part; more than a segment of the default size. */
    private static final int MAX_SEARCHED_BYTES = 32 << 20;

    /** Whether a copy of the last record that was read is expected next. */
    private enum CopyState {
        /** The copy was read or is known to be damaged, or the record has none. */
        NONE_DUE,
        /** The last record is of a kind that always has a copy. */
        DUE,
        /** The last record is a snapshot, which has a copy in a mirrored log only. */
        POSSIBLE
    }

    private final DiskFile file;
    private final long fileSizeBytes;
    private final List<byte[]> payloads = new ArrayList<>();
    private long lastSequence;
    private long lastSizeBytes;
    private boolean lastIsCopy;
    private CopyState copyState = CopyState.NONE_DUE;
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
                provenSyncedSequence,
                scanner.lastIsCopy);
    }

    private void readRecords() throws IOException {
        do {
            readUntilGap();
        } while (readableBytes < fileSizeBytes && skipGap());
    }

    private void readUntilGap() throws IOException {
        Optional<SegmentRecord> next = recordAt(readableBytes);
        while (next.isPresent() && mayFollow(next.get())) {
            accept(next.get());
            next = recordAt(readableBytes);
        }
    }

    private boolean mayFollow(SegmentRecord record) {
        boolean isFirst = readableBytes == 0;
        boolean isSnapshot = record.kind() == SegmentRecord.SNAPSHOT;
        return isFirst == isSnapshot && record.sequence() > lastSequence;
    }

    private void accept(SegmentRecord record) {
        boolean repeatsLast =
                record.isCopy() && copyState != CopyState.NONE_DUE && record.sequence() == lastSequence + 1;
        if (!repeatsLast) {
            payloads.add(record.payload());
        }
        lastSequence = record.sequence();
        lastSizeBytes = record.sizeBytes();
        lastIsCopy = record.isCopy();
        readableBytes += record.sizeBytes();
        copyState = copyStateAfter(record);
    }

    private static CopyState copyStateAfter(SegmentRecord record) {
        if (record.kind() == SegmentRecord.SNAPSHOT) {
            return CopyState.POSSIBLE;
        }
        return record.hasCopy() ? CopyState.DUE : CopyState.NONE_DUE;
    }

    /**
     * Skips unreadable bytes if no record is lost with them.
     *
     * @return whether the readable part continues behind them
     */
    private boolean skipGap() throws IOException {
        byte[] tail = readTail();
        ByteBuffer bytes = ByteBuffer.wrap(tail);
        for (int offset = 1; offset + SegmentRecord.HEADER_BYTES <= tail.length; offset++) {
            if (hasPlausibleSequence(bytes, offset)) {
                Optional<SegmentRecord> record = recordAt(readableBytes + offset);
                if (record.isPresent()) {
                    return skipGap(offset, record.get());
                }
            }
        }
        return false;
    }

    private boolean skipGap(int gapBytes, SegmentRecord next) {
        if (!gapIsCopyOfLast(gapBytes, next) && !gapIsRepairedByCopy(gapBytes, next)) {
            return false;
        }
        readableBytes += gapBytes;
        copyState = CopyState.NONE_DUE;
        accept(next);
        return true;
    }

    /** Returns whether the gap is the copy of the record before it. */
    private boolean gapIsCopyOfLast(int gapBytes, SegmentRecord next) {
        return copyState != CopyState.NONE_DUE
                && next.hasCopy()
                && next.sequence() == lastSequence + 2
                && gapBytes == lastSizeBytes;
    }

    /**
     * Returns whether the gap holds the record whose copy is {@code next}, possibly preceded by a copy of the last
     * record.
     */
    private boolean gapIsRepairedByCopy(int gapBytes, SegmentRecord next) {
        if (readableBytes == 0) {
            return next.kind() == SegmentRecord.SNAPSHOT_COPY && gapBytes == next.sizeBytes();
        }
        if (next.kind() != SegmentRecord.COPY) {
            return false;
        }
        boolean gapHoldsRecord = next.sequence() == lastSequence + 2 && gapBytes == next.sizeBytes();
        boolean gapHoldsLastCopyAndRecord = copyState != CopyState.NONE_DUE
                && next.sequence() == lastSequence + 3
                && gapBytes == lastSizeBytes + next.sizeBytes();
        return gapHoldsRecord && copyState != CopyState.DUE || gapHoldsLastCopyAndRecord;
    }

    /**
     * Searches the bytes behind the readable part for an intact record that proves a sync. The kind and the sequence
     * number are compared first, since verifying the checksum at each byte would take too long.
     *
     * @return the highest sequence number of such a record, or 0 if there is none
     */
    private long searchProofOfSync() throws IOException {
        byte[] tail = readTail();
        ByteBuffer bytes = ByteBuffer.wrap(tail);
        long highest = 0;
        for (int offset = 1; offset + SegmentRecord.HEADER_BYTES <= tail.length; offset++) {
            if (SegmentRecord.provesSync(SegmentRecord.kindAt(bytes, offset)) && hasPlausibleSequence(bytes, offset)) {
                Optional<SegmentRecord> record = recordAt(readableBytes + offset);
                highest = Math.max(highest, record.map(SegmentRecord::sequence).orElse(0L));
            }
        }
        return highest;
    }

    /** Returns the bytes behind the readable part, at most {@link #MAX_SEARCHED_BYTES} of them. */
    private byte[] readTail() throws IOException {
        byte[] tail = new byte[(int) Math.min(fileSizeBytes - readableBytes, MAX_SEARCHED_BYTES)];
        file.read(readableBytes, ByteBuffer.wrap(tail));
        return tail;
    }

    private boolean hasPlausibleSequence(ByteBuffer bytes, int offset) {
        long sequence = SegmentRecord.sequenceAt(bytes, offset);
        return sequence > lastSequence && sequence - lastSequence < MAX_SEQUENCE_DISTANCE;
    }

    private Optional<SegmentRecord> recordAt(long position) throws IOException {
        return SegmentRecord.read(file, position, fileSizeBytes);
    }
}
