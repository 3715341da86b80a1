package burlarch.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * A log of records that snapshots keep short. One file, the current segment, holds a snapshot and the records after it;
 * the next snapshot begins the next segment and replaces all records before it.
 *
 * <p><b>Durable before acknowledged.</b> Appended records are durable once {@link #sync} has returned, a snapshot once
 * {@link #replaceWithSnapshot} has returned.
 *
 * <p><b>Errors.</b> After an {@link IOException} of {@link #append} or {@link #sync} every record since the last sync
 * is undone; a restart may still find it. After one of {@link #replaceWithSnapshot} the log is as before. In each
 * case the same call may be tried again. An undone record that a restart finds does no harm: its writer was told that
 * the outcome is open, and it is found only if nothing was synced after it.
 *
 * <p><b>Bound.</b> At most {@value #MAX_OBSOLETE_SEGMENTS} obsolete segments exist beside the current one; if they
 * cannot be removed, no further segment is begun.
 *
 * <p>What is found on the disk at opening is {@link LogRecovery}'s concern. One thread owns a log; calls may block on
 * the disk.
 */
public final class SegmentedLog implements Closeable {
    /** The largest record and the largest snapshot, without header. */
    public static final int MAX_RECORD_BYTES = 8 * 1024 * 1024;
    /** How much may follow a snapshot before the next one is due, by default. */
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
    /** Whether the current segment holds records without a copy although this log is mirrored: it gets no more. */
    private boolean replaceCurrent;

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
        replaceCurrent = current != null && redundancy == Redundancy.MIRRORED && !recovered.endsMirrored();
        nextNumber = recovered.nextNumber();
        nextSequence = recovered.nextSequence();
    }

    /**
     * Opens the log of a disk, of either redundancy. Other files there are left alone.
     *
     * @param segmentBytes how much may follow a snapshot until {@link #isSnapshotDue}
     * @param redundancy of the records that are written from now on
     * @throws DamagedLogException if records are lost that had been synced; opening again does not help
     * @throws IOException if the disk cannot be read or synced; opening may be tried again
     */
    static SegmentedLog open(Disk disk, long segmentBytes, Redundancy redundancy) throws IOException {
        return new SegmentedLog(disk, segmentBytes, redundancy, LogRecovery.recover(disk));
    }

    /** Opens a log that writes each record once, as the longer form does. */
    public static SegmentedLog open(Disk disk, long segmentBytes) throws IOException {
        return open(disk, segmentBytes, Redundancy.SINGLE);
    }

    /** Returns whether there is no snapshot yet; then {@link #replaceWithSnapshot} must come before any append. */
    public boolean isEmpty() {
        return current == null;
    }

    /**
     * Requires of an empty log that it never was in use: that nothing is there but the remains of a first creation.
     *
     * @param maxFirstSnapshotBytes how long the first snapshot of this log may be
     * @throws DamagedLogException if the first segment is longer than that and its snapshot cannot be read
     */
    void requireNeverUsed(long maxFirstSnapshotBytes) throws DamagedLogException {
        long firstRecordBytes = SegmentRecord.HEADER_BYTES + maxFirstSnapshotBytes;
        long firstBytes = redundancy == Redundancy.MIRRORED ? 2 * firstRecordBytes : firstRecordBytes;
        if (isEmpty() && unreadableFirstSegmentBytes > firstBytes) {
            throw new DamagedLogException(SegmentFileName.of(LogRecovery.FIRST_NUMBER), 0);
        }
    }

    /** Returns the snapshot and the records after it as found at opening, and forgets them. */
    public List<byte[]> takeRecoveredRecords() {
        List<byte[]> records = recoveredRecords;
        recoveredRecords = List.of();
        return records;
    }

    /**
     * Appends records without sync.
     *
     * @throws IOException if one is too large or cannot be written; every record since the last sync is undone
     * @throws IllegalStateException if the log is empty
     */
    public void append(List<byte[]> records) throws IOException {
        if (isEmpty()) {
            throw new IllegalStateException("a log begins with a snapshot");
        }
        for (byte[] record : records) {
            requireFits(record);
            current.append(takeSequence(), record, redundancy);
        }
    }

    /**
     * Makes every appended record durable.
     *
     * @throws IOException if that failed; every record since the last sync is undone
     */
    public void sync() throws IOException {
        current.sync();
    }

    /**
     * Returns whether a new snapshot is due: so much follows the last one, or the segment is of an earlier release
     * that wrote each record once.
     */
    public boolean isSnapshotDue() {
        return replaceCurrent || !isEmpty() && current.endBytes() - snapshotEndBytes >= segmentBytes;
    }

    /**
     * Replaces all records with a snapshot, which is durable once this has returned.
     *
     * <p><b>Successor before removal.</b> The new segment and its directory entry are synced before the current one
     * becomes obsolete. So at any moment at least one segment with a complete snapshot exists.
     *
     * @throws IOException if the snapshot is too large or could not be made durable; the log is as before
     */
    public void replaceWithSnapshot(byte[] snapshot) throws IOException {
        requireFits(snapshot);
        obsolete.removeAll();
        requireRoomForSegment();
        Segment next = createSegment(snapshot);
        if (current != null) {
            current.closeQuietly();
            obsolete.add(current.fileName());
        }
        current = next;
        replaceCurrent = false;
        snapshotEndBytes = next.endBytes();
        obsolete.removeAll();
    }

    @Override
    public void close() {
        if (current != null) {
            current.closeQuietly();
        }
    }

    private void requireRoomForSegment() throws IOException {
        boolean firstFileIsInTheWay = isEmpty() && obsolete.contains(SegmentFileName.of(LogRecovery.FIRST_NUMBER));
        if (firstFileIsInTheWay || obsolete.count() >= MAX_OBSOLETE_SEGMENTS) {
            throw new IOException("obsolete segments cannot be removed");
        }
    }

    /**
     * Creates the next segment. The first one keeps its number over failed attempts: {@link LogRecovery} relies on
     * it.
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

    /** The sequence of the next record; in a mirrored log the one after it is its copy's. */
    private long takeSequence() {
        long sequence = nextSequence;
        nextSequence += redundancy == Redundancy.MIRRORED ? 2 : 1;
        return sequence;
    }

    private static void requireFits(byte[] record) throws IOException {
        if (record.length > MAX_RECORD_BYTES) {
            throw new IOException("a record of " + record.length + " bytes is too large");
        }
    }
}
