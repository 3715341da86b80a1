package burlarch.storage;

import burlarch.storage.Segment.OpenedSegment;
import java.io.IOException;
import java.util.List;
import java.util.OptionalLong;

/**
 * Opens the segments of a disk and chooses the current one.
 *
 * <p><b>Rising sequences.</b> A sequence is never used twice, also not after an error, and rises over all segments. So
 * the segment whose readable part reaches the highest sequence holds the newest state. A segment that a failed creation
 * left loses against records that were synced after it; one whose removal did not last loses against the snapshot that
 * replaced it.
 *
 * <p><b>Synced before trusted.</b> The process that wrote the current segment may have died between a write and its
 * sync. Its records can be read now and would still be lost in a power failure. The segment and the directory are
 * synced before any record is handed out.
 *
 * <p><b>Loss is reported.</b> {@link DamagedLogException} is thrown in two cases:
 *
 * <ul>
 *   <li>A damaged segment is proven to have held records that were synced, of sequences above all that can be read. A
 *       damaged segment that ends below the current one was replaced before and is ignored.
 *   <li>No segment has a readable snapshot, and one exists with a number above {@link #FIRST_NUMBER}. Such a segment is
 *       begun only while another is intact, and that one is removed only after its successor is synced.
 * </ul>
 */
final class LogRecovery {
    /** Number of the first segment of a log, also after a creation that failed. */
    static final long FIRST_NUMBER = 1;

    /**
     * What recovery found.
     *
     * @param current the segment to append to, open; null if the log holds no snapshot yet
     * @param payloads the records of the current segment, the snapshot first
     * @param endsMirrored whether the current segment ends with a copy
     * @param nextNumber a segment number that no file has
     * @param nextSequence a sequence above all that were ever read
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
    /** The open segment whose readable part reaches the highest sequence; null if none has a snapshot. */
    private OpenedSegment newest;
    /**
     * The segment that proves a sync of the highest sequence; closed unless it is the newest; null if none proves
     * one.
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
     * Recovers a log. Files that are not segments are left alone.
     *
     * @throws DamagedLogException if synced records are lost
     * @throws IOException if the disk cannot be read or synced; the caller may try again
     */
    static Result recover(Disk disk) throws IOException {
        LogRecovery recovery = new LogRecovery(disk);
        try {
            recovery.openAll();
            recovery.requireNothingLost();
            return recovery.newest == null ? recovery.emptyLog() : recovery.trustNewest();
        } catch (IOException e) {
            recovery.closeNewest();
            throw e;
        }
    }

    /** Opens every segment and closes all but the newest again. */
    private void openAll() throws IOException {
        for (String fileName : disk.listFiles()) {
            OptionalLong number = SegmentFileName.parseNumber(fileName);
            if (number.isPresent()) {
                obsolete.add(fileName);
                nextNumber = Math.max(nextNumber, number.getAsLong() + 1);
                consider(Segment.open(disk, number.getAsLong()));
            }
        }
    }

    private void consider(OpenedSegment found) {
        SegmentScan scan = found.scan();
        nextSequence = Math.max(nextSequence, Math.max(scan.lastSequence(), scan.provenSyncedSequence()) + 1);
        if (scan.provenSyncedSequence() > provenSyncedSequence()) {
            damaged = found;
        }
        if (!scan.hasSnapshot() && found.segment().number() == FIRST_NUMBER) {
            unreadableFirstSegmentBytes = scan.fileSizeBytes();
        }
        if (scan.hasSnapshot()
                && (newest == null || scan.lastSequence() > newest.scan().lastSequence())) {
            closeNewest();
            newest = found;
        } else {
            found.segment().closeQuietly();
        }
    }

    private long provenSyncedSequence() {
        return damaged == null ? 0 : damaged.scan().provenSyncedSequence();
    }

    private void requireNothingLost() throws DamagedLogException {
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

    private Result emptyLog() {
        return new Result(null, List.of(), false, obsolete, nextNumber, nextSequence, unreadableFirstSegmentBytes);
    }

    private Result trustNewest() throws IOException {
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
