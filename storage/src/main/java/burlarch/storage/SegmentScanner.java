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
 * The readable part ends where no such record begins and no copy makes up for what is missing.
 *
 * <p><b>Copies.</b> In a mirrored log the next sequence belongs to the copy of a record. Bytes that can't be read are
 * passed over if what follows them shows by its sequence, and by the length of the gap, that they were a copy of a
 * record that was read, or a record whose copy is intact, or both.
 *
 * <p><b>Torn tail or damage</b> (invariant <i>proof of sync</i>). What was written after the last sync may be lost in
 * a power failure, in whole or in part. That is a torn tail, and it is harmless: nothing of it was acknowledged.
 * Damage to synced records is a loss. The two are told apart by the kind of the records behind the readable part: a
 * record that {@link SegmentRecord#provesSync} was written only when everything before it had been synced. If such a
 * record is intact behind bytes that cannot be read, then those bytes were synced and are damaged.
 *
 * <p><b>Limit.</b> The last sync leaves no such record until the next record is written. Damage to what only that sync
 * covered, in a mirrored log to both of its copies, looks like a torn tail and is not detected.
 */
final class SegmentScanner {
    /** Sequences of one segment differ by less than this; it keeps random bytes from being taken for a record. */
    private static final long MAX_SEQUENCE_DISTANCE = 1L << 32;
    /** How much behind the readable part is searched: more than a segment of the default size. */
    private static final int MAX_SEARCHED_BYTES = 32 << 20;

    /** Whether the copy of the last record that was read is still to come. */
    private enum CopyState {
        /** It was read or is known to be damaged, or the record has none. */
        NONE_DUE,
        /** The record is of a kind that has a copy. */
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
    private CopyState copy = CopyState.NONE_DUE;
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
        } while (readableBytes < fileSizeBytes && passGap());
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
        boolean repeatsLast = record.isCopy() && copy != CopyState.NONE_DUE && record.sequence() == lastSequence + 1;
        if (!repeatsLast) {
            payloads.add(record.payload());
        }
        lastSequence = record.sequence();
        lastSizeBytes = record.sizeBytes();
        lastIsCopy = record.isCopy();
        readableBytes += record.sizeBytes();
        copy = copyStateAfter(record);
    }

    private static CopyState copyStateAfter(SegmentRecord record) {
        if (record.kind() == SegmentRecord.SNAPSHOT) {
            return CopyState.POSSIBLE;
        }
        return record.hasCopy() ? CopyState.DUE : CopyState.NONE_DUE;
    }

    /**
     * Passes over unreadable bytes if nothing is lost with them.
     *
     * @return whether the readable part goes on behind them
     */
    private boolean passGap() throws IOException {
        byte[] tail = tail();
        ByteBuffer bytes = ByteBuffer.wrap(tail);
        for (int offset = 1; offset + SegmentRecord.HEADER_BYTES <= tail.length; offset++) {
            if (hasPlausibleSequence(bytes, offset)) {
                Optional<SegmentRecord> record = recordAt(readableBytes + offset);
                if (record.isPresent()) {
                    return passGap(offset, record.get());
                }
            }
        }
        return false;
    }

    private boolean passGap(int gapBytes, SegmentRecord next) {
        if (!isCopyOfLast(gapBytes, next) && !isRepairedByCopy(gapBytes, next)) {
            return false;
        }
        readableBytes += gapBytes;
        copy = CopyState.NONE_DUE;
        accept(next);
        return true;
    }

    /** Whether the gap is the copy of the record before it. */
    private boolean isCopyOfLast(int gapBytes, SegmentRecord next) {
        return copy != CopyState.NONE_DUE
                && next.hasCopy()
                && next.sequence() == lastSequence + 2
                && gapBytes == lastSizeBytes;
    }

    /** Whether the gap holds the record of which {@code next} is the copy, and at most a copy of the last one. */
    private boolean isRepairedByCopy(int gapBytes, SegmentRecord next) {
        if (readableBytes == 0) {
            return next.kind() == SegmentRecord.SNAPSHOT_COPY && gapBytes == next.sizeBytes();
        }
        if (next.kind() != SegmentRecord.COPY) {
            return false;
        }
        boolean onlyTheRecord = next.sequence() == lastSequence + 2 && gapBytes == next.sizeBytes();
        boolean alsoTheCopyBefore = copy != CopyState.NONE_DUE
                && next.sequence() == lastSequence + 3
                && gapBytes == lastSizeBytes + next.sizeBytes();
        return onlyTheRecord && copy != CopyState.DUE || alsoTheCopyBefore;
    }

    /**
     * Looks at each byte behind the readable part for the beginning of an intact record that proves a sync. The kind
     * and the sequence are compared first, as reading a record and its checksum at each byte would take too long.
     *
     * @return the highest sequence of such a record, or 0
     */
    private long searchProofOfSync() throws IOException {
        byte[] tail = tail();
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

    /** The bytes behind the readable part, or the first of them. */
    private byte[] tail() throws IOException {
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
