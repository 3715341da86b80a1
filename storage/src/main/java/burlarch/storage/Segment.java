package burlarch.storage;

import java.io.IOException;

/**
 * The open file of one segment, which holds a snapshot record and the records after it. This class is the only writer
 * of the file.
 *
 * <p><b>State.</b> The file up to {@code syncedBytes} is durable. The rest is the tail. {@link Tail} names its states;
 * {@link Tail#after} is the only transition function:
 *
 * <pre>
 *   state       append begins   append ends   sync ends   append or sync fails
 *   SYNCED      SYNCED          UNSYNCED      SYNCED      DISCARDED
 *   UNSYNCED    UNSYNCED        UNSYNCED      SYNCED      DISCARDED
 *   DISCARDED   SYNCED (1)      -             DISCARDED   DISCARDED
 * </pre>
 *
 * <p><b>Truncation before reuse</b> (1). After a failed write or sync, any part of the tail may be on the medium.
 * Everything since the last sync is discarded, and before the next append the file is truncated to {@code syncedBytes}
 * and synced. Otherwise, the rest of a discarded record could be read behind a shorter record written in its place.
 *
 * <p><b>Proof of sync.</b> A record that {@link SegmentRecord#provesSync} is written only in the state SYNCED, where
 * everything before it is synced. {@link SegmentScanner} relies on it.
 *
 * <p>Owned by the log's thread. The caller of {@link #create} or {@link #open} closes the segment:
 * {@link SegmentedLog} the current one, {@link LogRecovery} all others.
 */
final class Segment {
    /** The state of the part of the file behind {@code syncedBytes}. */
    private enum Tail {
        /** Empty. */
        SYNCED,
        /** Complete records that are not synced yet. */
        UNSYNCED,
        /**
         * Bytes to be truncated: from a failed write or sync, or an unreadable tail found when the file was opened.
         */
        DISCARDED;

        Tail after(Event event) {
            return switch (event) {
                case TAIL_TRUNCATED -> SYNCED;
                case RECORD_WRITTEN -> UNSYNCED;
                case FILE_SYNCED -> this == DISCARDED ? DISCARDED : SYNCED;
                case OPERATION_FAILED -> DISCARDED;
            };
        }
    }

    private enum Event {
        TAIL_TRUNCATED,
        RECORD_WRITTEN,
        FILE_SYNCED,
        OPERATION_FAILED
    }

    /** A segment together with the result of scanning its file. */
    record OpenedSegment(Segment segment, SegmentScan scan) {}

    private final long number;
    private final DiskFile file;
    private Tail tail;
    private long lastSequence;
    private long syncedBytes;
    private long endBytes;

    private Segment(long number, DiskFile file, Tail tail, long lastSequence, long readableBytes) {
        this.number = number;
        this.file = file;
        this.tail = tail;
        this.lastSequence = lastSequence;
        syncedBytes = readableBytes;
        endBytes = readableBytes;
    }

    /**
     * Creates a file that holds one snapshot. When this returns, the snapshot and the directory entry are durable;
     * after a failure, the file may exist with any part of the snapshot, and is closed.
     */
    static Segment create(Disk disk, long number, long sequence, byte[] snapshot, Redundancy redundancy)
            throws IOException {
        Segment segment = new Segment(number, disk.create(SegmentFileName.of(number)), Tail.SYNCED, 0, 0);
        try {
            segment.write(new SegmentRecord(sequence, SegmentRecord.SNAPSHOT, snapshot), redundancy);
            segment.sync();
            disk.syncDirectory();
            return segment;
        } catch (IOException e) {
            segment.closeQuietly();
            throw e;
        }
    }

    /**
     * Opens an existing file and reads it. The caller must call {@link #sync} before it uses the records: the process
     * that wrote them may have died before its own sync.
     */
    static OpenedSegment open(Disk disk, long number) throws IOException {
        DiskFile file = disk.open(SegmentFileName.of(number));
        try {
            SegmentScan scan = SegmentScanner.scan(file);
            Tail tail = scan.hasUnreadableTail() ? Tail.DISCARDED : Tail.SYNCED;
            Segment segment = new Segment(number, file, tail, scan.lastSequence(), scan.readableBytes());
            return new OpenedSegment(segment, scan);
        } catch (IOException e) {
            closeQuietly(file);
            throw e;
        }
    }

    long number() {
        return number;
    }

    String fileName() {
        return SegmentFileName.of(number);
    }

    /** Returns the sequence number of the last record. */
    long lastSequence() {
        return lastSequence;
    }

    /** Returns the file offset at which the next record begins. */
    long endBytes() {
        return endBytes;
    }

    /**
     * Writes a record, and its copy in a mirrored log, without a sync. After a failure, every record since the last
     * sync is discarded.
     */
    void append(long sequence, byte[] payload, Redundancy redundancy) throws IOException {
        if (tail == Tail.DISCARDED) {
            truncateTail();
        }
        try {
            write(new SegmentRecord(sequence, nextRecordKind(redundancy), payload), redundancy);
        } catch (IOException e) {
            discardTail();
            throw e;
        }
    }

    /** Makes every appended record durable. After a failure, every record since the last sync is discarded. */
    void sync() throws IOException {
        try {
            file.force();
        } catch (IOException e) {
            discardTail();
            throw e;
        }
        syncedBytes = endBytes;
        tail = tail.after(Event.FILE_SYNCED);
    }

    /** Closes the file. A failure is ignored: data that must be durable was synced before. */
    void closeQuietly() {
        closeQuietly(file);
    }

    private static void closeQuietly(DiskFile file) {
        try {
            file.close();
        } catch (IOException e) {
            // Ignored: no caller uses the file any more.
        }
    }

    private byte nextRecordKind(Redundancy redundancy) {
        boolean synced = tail == Tail.SYNCED;
        return switch (redundancy) {
            case SINGLE -> synced ? SegmentRecord.AFTER_SYNCED : SegmentRecord.AFTER_UNSYNCED;
            case MIRRORED -> synced ? SegmentRecord.MIRRORED_AFTER_SYNCED : SegmentRecord.MIRRORED_AFTER_UNSYNCED;
        };
    }

    private void write(SegmentRecord record, Redundancy redundancy) throws IOException {
        write(record);
        if (redundancy == Redundancy.MIRRORED) {
            write(record.copy());
        }
    }

    private void write(SegmentRecord record) throws IOException {
        file.write(endBytes, record.encode());
        endBytes += record.sizeBytes();
        lastSequence = record.sequence();
        tail = tail.after(Event.RECORD_WRITTEN);
    }

    private void discardTail() {
        tail = tail.after(Event.OPERATION_FAILED);
        endBytes = syncedBytes;
    }

    private void truncateTail() throws IOException {
        file.truncate(syncedBytes);
        file.force();
        tail = tail.after(Event.TAIL_TRUNCATED);
    }
}
