package burlarch.storage;

import java.util.List;

/**
 * What {@link SegmentScanner} found in one file.
 *
 * @param payloads of the readable records: the snapshot first, then those after it
 * @param lastSequence of the last readable record; 0 if there is none
 * @param readableBytes length of the readable part, which begins at the file's start
 * @param fileSizeBytes length of the whole file
 * @param provenSyncedSequence highest sequence of an intact record behind the readable part that proves that
 *     everything before it had been synced; 0 if there is none. If it is above the highest readable sequence of the
 *     whole log, then synced records are lost.
 * @param endsMirrored whether the last readable record is a copy, so that each record of the segment may have one
 */
record SegmentScan(
        List<byte[]> payloads,
        long lastSequence,
        long readableBytes,
        long fileSizeBytes,
        long provenSyncedSequence,
        boolean endsMirrored) {
    /** Returns whether at least the snapshot can be read. */
    boolean hasSnapshot() {
        return readableBytes > 0;
    }

    /** Returns whether bytes follow the readable part. */
    boolean hasUnreadableTail() {
        return readableBytes < fileSizeBytes;
    }
}
