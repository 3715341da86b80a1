package burlarch.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * A durable log of records that is compacted by snapshots. One file, the current segment, holds a snapshot and the
 * records after it; the next snapshot starts a new segment and replaces all earlier records.
 *
 * <p><b>Durable before acknowledged.</b> Appended records are durable once {@link #sync} has returned, a snapshot once
 * {@link #replaceWithSnapshot} has returned.
 *
 * <p><b>Errors.</b> After an {@link IOException} from {@link #append} or {@link #sync}, every record since the last
 * sync is discarded; a restart may still find it. After one from {@link #replaceWithSnapshot}, the log is unchanged.
 * In each case the call may be retried. A discarded record that a restart finds is harmless: its writer received an
 * error, so the outcome was unknown, and the record is found only if nothing was synced after it.
 *
 * <p><b>Limit.</b> At most {@value #MAX_OBSOLETE_SEGMENTS} obsolete segments exist besides the current one; if they
 * cannot be removed, no further segment is created.
 *
 * <p>{@link LogRecovery} reads the disk when the log is opened. Owned by one thread; calls may block on the disk.
 */
public final class SegmentedLog implements Closeable {
    /** Maximum payload of a record or snapshot, without the record header. */
    public static final int MAX_RECORD_BYTES = 8 * 1024 * 1024;
    /** Default number of bytes written after a snapshot before the next one is due. */
    public static final long DEFAULT_SEGMENT_BYTES = 4 * 1024 * 1024;

    private static final int MAX_OBSOLETE_SEGMENTS = 2;

    private final Disk disk;
    private final long segmentBytes;
    private final Redundancy redundancy;
    private final ObsoleteSegments obsolete;
    /** Length of the first segment if its snapshot could not be read when the log was opened, or 0. */
    private final long unreadableFirstSegmentBytes;
    /** Null until the first snapshot is durable. */
    private Segment current;

    private List<byte[]> recoveredRecords;
    private long snapshotEndBytes;
    /**
     * Whether the current segment holds records without a copy although this log is mirrored: nothing is appended to
     * it.
     */
    private boolean replacementDue;

    private long nextNumber;
    private long nextSequence;

    private SegmentedLog(Disk disk, long segmentBytes, Redundancy redundancy, LogRecovery.Result recovered) {
        this.disk = disk;
        this.segmentBytes = segmentBytes;
        this.redundancy = redundancy;
        obsolete = recovered.obsolete();
        unreadableFirstSegmentBytes = recovered.unreadableFirstSegmentBytes();
        current = recovered.current();
        recoveredRecords = recovered.payloads();
        snapshotEndBytes = current == null ? 0 : SegmentRecord.HEADER_BYTES + recoveredRecords.get(0).length;
        replacementDue = current != null && redundancy == Redundancy.MIRRORED && !recovered.endsMirrored();
        nextNumber = recovered.nextNumber();
        nextSequence = recovered.nextSequence();
    }

    /**
     * Opens the log on a disk, whichever redundancy it was written with. Files that are not segments are ignored.
     *
     * @param segmentBytes bytes written after a snapshot before {@link #isSnapshotDue}
     * @param redundancy redundancy of the records written from now on
     * @throws DamagedLogException if synced records are lost; opening again does not help
     * @throws IOException if the disk cannot be read or synced; opening may be retried
     */
    static SegmentedLog open(Disk disk, long segmentBytes, Redundancy redundancy) throws IOException {
        return new SegmentedLog(disk, segmentBytes, redundancy, LogRecovery.recover(disk));
    }

    /** As {@link #open(Disk, long, Redundancy)}, for a log that writes each record once. */
    public static SegmentedLog open(Disk disk, long segmentBytes) throws IOException {
        return open(disk, segmentBytes, Redundancy.SINGLE);
    }

    /** Returns whether there is no snapshot yet; {@link #replaceWithSnapshot} must then precede any append. */
    public boolean isEmpty() {
        return current == null;
    }

    /**
     * Checks that an empty log was never used: the disk holds at most the remains of a failed creation of its first
     * segment.
     *
     * @param maxFirstSnapshotBytes maximum payload of the first snapshot of this log
     * @throws DamagedLogException if the first segment is longer than that snapshot and unreadable
     */
    void requireNeverUsed(long maxFirstSnapshotBytes) throws DamagedLogException {
        long maxFirstRecordBytes = SegmentRecord.HEADER_BYTES + maxFirstSnapshotBytes;
        long maxFirstSegmentBytes = redundancy == Redundancy.MIRRORED ? 2 * maxFirstRecordBytes : maxFirstRecordBytes;
        if (isEmpty() && unreadableFirstSegmentBytes > maxFirstSegmentBytes) {
            throw new DamagedLogException(SegmentFileName.of(LogRecovery.FIRST_NUMBER), 0);
        }
    }

    /** Returns the snapshot and the records after it as read when the log was opened, and releases them. */
    public List<byte[]> takeRecoveredRecords() {
        List<byte[]> records = recoveredRecords;
        recoveredRecords = List.of();
        return records;
    }

    /**
     * Appends records without a sync.
     *
     * @throws IOException if a record is too large or cannot be written; every record since the last sync is discarded
     * @throws IllegalStateException if the log is empty
     */
    public void append(List<byte[]> records) throws IOException {
        if (isEmpty()) {
            throw new IllegalStateException("cannot append to an empty log: a snapshot must be written first");
        }
        for (byte[] record : records) {
            requireFits(record);
            current.append(takeSequence(), record, redundancy);
        }
    }

    /**
     * Makes every appended record durable.
     *
     * @throws IOException if the sync fails; every record since the last sync is discarded
     */
    public void sync() throws IOException {
        current.sync();
    }

    /**
     * Returns whether a new snapshot is due: at least {@code segmentBytes} were written after the last one, or the
     * segment was written by an earlier release that wrote each record once.
     */
    public boolean isSnapshotDue() {
        return replacementDue || !isEmpty() && current.endBytes() - snapshotEndBytes >= segmentBytes;
    }

    /**
     * Replaces all records with a snapshot, which is durable when this method returns.
     *
     * <p><b>Successor before removal.</b> The new segment and its directory entry are synced before the current one
     * becomes obsolete. So at least one segment with a complete snapshot exists at any time.
     *
     * @throws IOException if the snapshot is too large or could not be made durable; the log is unchanged
     */
    public void replaceWithSnapshot(byte[] snapshot) throws IOException {
        requireFits(snapshot);
        obsolete.removeAll();
        requireSegmentCreatable();
        Segment next = createSegment(snapshot);
        if (current != null) {
            current.closeQuietly();
            obsolete.add(current.fileName());
        }
        current = next;
        replacementDue = false;
        snapshotEndBytes = next.endBytes();
        obsolete.removeAll();
    }

    @Override
    public void close() {
        if (current != null) {
            current.closeQuietly();
        }
    }

    private void requireSegmentCreatable() throws IOException {
        boolean firstFileExists = isEmpty() && obsolete.contains(SegmentFileName.of(LogRecovery.FIRST_NUMBER));
        if (firstFileExists || obsolete.count() >= MAX_OBSOLETE_SEGMENTS) {
            throw new IOException("cannot create a segment: obsolete segments could not be removed");
        }
    }

    /**
     * Creates the next segment. The first segment keeps its number after failed attempts; {@link LogRecovery} relies
     * on this.
     */
    private Segment createSegment(byte[] snapshot) throws IOException {
        long number = isEmpty() ? LogRecovery.FIRST_NUMBER : nextNumber++;
        try {
            return Segment.create(disk, number, takeSequence(), snapshot, redundancy);
        } catch (IOException e) {
            obsolete.add(SegmentFileName.of(number));
            obsolete.removeAll();
            throw e;
        }
    }

    /** Takes the sequence number of the next record; in a mirrored log, the number after it belongs to the copy. */
    private long takeSequence() {
        long sequence = nextSequence;
        nextSequence += redundancy == Redundancy.MIRRORED ? 2 : 1;
        return sequence;
    }

    private static void requireFits(byte[] record) throws IOException {
        if (record.length > MAX_RECORD_BYTES) {
            throw new IOException("record of " + record.length + " bytes exceeds the maximum record size");
        }
    }
}
