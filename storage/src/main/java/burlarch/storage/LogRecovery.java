package burlarch.storage;

import burlarch.storage.Segment.OpenedSegment;
import java.io.IOException;
import java.util.List;
import java.util.OptionalLong;

/**
 * Recovers a {@link SegmentedLog}: opens the segments of a disk and selects the current one.
 *
 * <p><b>Increasing sequence numbers.</b> A sequence number is never used twice, not even after an error, and increases
 * across all segments. So the segment whose readable part reaches the highest sequence number holds the newest state.
 * A segment left by a failed creation has a lower number than records synced after it; a segment whose removal was not
 * durable has a lower number than the snapshot that replaced it.
 *
 * <p><b>Sync before use.</b> The process that wrote the current segment may have died between a write and its sync.
 * Its records are readable now but could still be lost in a power failure. So the segment and the directory are synced
 * before any record is returned.
 *
 * <p><b>Loss is reported.</b> {@link DamagedLogException} is thrown in two cases:
 *
 * <ul>
 *   <li>A damaged segment provably held synced records with sequence numbers above all readable ones. A damaged
 *       segment that ends below the current one had been replaced and is ignored.
 *   <li>No segment has a readable snapshot, and one exists with a number above {@link #FIRST_NUMBER}. Such a segment
 *       is created only while another is intact, and that one is removed only after its successor is synced.
 * </ul>
 */
final class LogRecovery {
    /** Number of the first segment of a log, also if an earlier creation failed. */
    static final long FIRST_NUMBER = 1;

    /**
     * The result of a recovery.
     *
     * @param current the segment to append to, open; null if the log has no snapshot yet
     * @param payloads the records of the current segment, the snapshot first
     * @param endsMirrored whether the last record of the current segment is a copy
     * @param nextNumber a segment number that no file has
     * @param nextSequence a sequence number above all that were found on the disk
     * @param unreadableFirstSegmentBytes length of the first segment if its snapshot cannot be read, or 0
     */
    record Result(
            Segment current,
            List<byte[]> payloads,
            boolean endsMirrored,
            ObsoleteSegments obsolete,
            long nextNumber,
            long nextSequence,
            long unreadableFirstSegmentBytes) {}

    private final Disk disk;
    private final ObsoleteSegments obsolete;
    /** The open segment whose readable part reaches the highest sequence number; null if none has a snapshot. */
    private OpenedSegment newest;
    /**
     * The segment with the highest {@code provenSyncedSequence}; closed unless it is the newest; null if no segment
     * has one.
     */
    private OpenedSegment damaged;

    private long nextNumber = FIRST_NUMBER + 1;
    private long nextSequence = 1;
    private long unreadableFirstSegmentBytes;

    private LogRecovery(Disk disk) {
        this.disk = disk;
        obsolete = new ObsoleteSegments(disk);
    }

    /**
     * Recovers a log. Files that are not segments are ignored.
     *
     * @throws DamagedLogException if synced records are lost
     * @throws IOException if the disk cannot be read or synced; the caller may retry
     */
    static Result recover(Disk disk) throws IOException {
        LogRecovery recovery = new LogRecovery(disk);
        try {
            recovery.openAllSegments();
            recovery.requireNoSyncedRecordLost();
            return recovery.newest == null ? recovery.resultForEmptyLog() : recovery.resultForNewest();
        } catch (IOException e) {
            recovery.closeNewest();
            throw e;
        }
    }

    /** Opens every segment and keeps only the newest open. */
    private void openAllSegments() throws IOException {
        for (String fileName : disk.listFiles()) {
            OptionalLong number = SegmentFileName.parseNumber(fileName);
            if (number.isPresent()) {
                obsolete.add(fileName);
                nextNumber = Math.max(nextNumber, number.getAsLong() + 1);
                considerSegment(Segment.open(disk, number.getAsLong()));
            }
        }
    }

    private void considerSegment(OpenedSegment opened) {
        SegmentScan scan = opened.scan();
        nextSequence = Math.max(nextSequence, Math.max(scan.lastSequence(), scan.provenSyncedSequence()) + 1);
        if (scan.provenSyncedSequence() > provenSyncedSequence()) {
            damaged = opened;
        }
        if (!scan.hasSnapshot() && opened.segment().number() == FIRST_NUMBER) {
            unreadableFirstSegmentBytes = scan.fileSizeBytes();
        }
        if (scan.hasSnapshot()
                && (newest == null || scan.lastSequence() > newest.scan().lastSequence())) {
            closeNewest();
            newest = opened;
        } else {
            opened.segment().closeQuietly();
        }
    }

    private long provenSyncedSequence() {
        return damaged == null ? 0 : damaged.scan().provenSyncedSequence();
    }

    private void requireNoSyncedRecordLost() throws DamagedLogException {
        if (damaged != null
                && (newest == null || provenSyncedSequence() > newest.scan().lastSequence())) {
            throw new DamagedLogException(
                    damaged.segment().fileName(), damaged.scan().readableBytes());
        }
        if (newest == null) {
            requireNoLaterSegment();
        }
    }

    private void requireNoLaterSegment() throws DamagedLogException {
        for (String fileName : obsolete.fileNames()) {
            if (SegmentFileName.parseNumber(fileName).orElse(0) > FIRST_NUMBER) {
                throw new DamagedLogException(fileName, 0);
            }
        }
    }

    private Result resultForEmptyLog() {
        return new Result(null, List.of(), false, obsolete, nextNumber, nextSequence, unreadableFirstSegmentBytes);
    }

    private Result resultForNewest() throws IOException {
        Segment current = newest.segment();
        obsolete.keep(current.fileName());
        current.sync();
        disk.syncDirectory();
        obsolete.removeAll();
        SegmentScan scan = newest.scan();
        return new Result(current, scan.payloads(), scan.endsMirrored(), obsolete, nextNumber, nextSequence, 0);
    }

    private void closeNewest() {
        if (newest != null) {
            newest.segment().closeQuietly();
        }
    }
}
