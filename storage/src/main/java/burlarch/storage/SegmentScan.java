package burlarch.storage;

import java.util.List;

/**
 * The result of scanning one segment file with {@link SegmentScanner}.
 *
 * @param payloads payloads of the readable records: the snapshot first, then those after it
 * @param lastSequence sequence number of the last readable record; 0 if there is none
 * @param readableBytes length of the readable part, which begins at the file's start
 * @param fileSizeBytes length of the whole file
 * @param provenSyncedSequence highest sequence number of an intact record behind the readable part that proves that
 *     everything before it was synced; 0 if there is none. If it is above the highest readable sequence number of the
 *     whole log, synced records are lost.
 * @param endsMirrored whether the last readable record is a copy; if false, the segment may hold records without a
 *     copy
 */
record SegmentScan(
        List<byte[]> payloads,
        long lastSequence,
        long readableBytes,
        long fileSizeBytes,
        long provenSyncedSequence,
        boolean endsMirrored) {
    /** Returns whether at least the snapshot is readable. */
    boolean hasSnapshot() {
        return readableBytes > 0;
    }

    /** Returns whether bytes follow the readable part. */
    boolean hasUnreadableTail() {
        return readableBytes < fileSizeBytes;
    }
}
