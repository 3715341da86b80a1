package burlarch.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * A log that replaces itself: a snapshot and the records after it, in one file, until the next snapshot
 * begins the next file.
 *
 * <p>What was appended counts once {@link #sync} has returned. After an I/O error all is undone that came
 * since the last sync (though it may be found again after a restart), and the same call may be tried again
 * later.
 *
 * <p>Sequences rise over all files and are not used twice, also not after an error. At opening, the file that
 * reaches the highest sequence counts: a file that a failed compaction left behind loses against the records
 * that were synced after it, and one whose removal didn't last loses against the snapshot that took its
 * place. What is read is synced once more before it is trusted, as a process that died may not have got to
 * that.
 *
 * <p>Not safe for use by several threads.
 */
public final class SegmentedLog implements Closeable {
    /** The largest record and the largest snapshot. */
    public static final int MAX_RECORD_BYTES = 8 * 1024 * 1024;
    /** How much follows a snapshot before the next one is due, unless said otherwise. */
    public static final long DEFAULT_SEGMENT_BYTES = 4 * 1024 * 1024;

    private static final int MOST_LEFTOVERS = 2;
    /** Of the first file, also after a creation that failed: a file of any other number replaced one. */
    private static final long FIRST_NUMBER = 1;

    private final Disk disk;
    private final long segmentBytes;
    private final List<String> leftovers = new ArrayList<>();
    private Segment current;
    private List<byte[]> recovered = List.of();
    private long snapshotEnd;
    private long nextNumber = FIRST_NUMBER + 1;
    private long nextSequence = 1;
    /** The damaged file that reaches the highest sequence, as far as was found. */
    private Segment damaged;
    /** Length of the first file, where its snapshot can't be read. */
    private long unreadableBytes;

    private SegmentedLog(Disk disk, long segmentBytes) {
        this.disk = disk;
        this.segmentBytes = segmentBytes;
    }

    /**
     * Opens the log of a folder; other files there are left alone.
     *
     * @param segmentBytes how much may follow a snapshot until {@link #isSnapshotDue}
     * @throws DamagedLogException where records are gone that once were synced
     * @throws IOException if the disk can't be read or synced; opening may be tried again
     */
    public static SegmentedLog open(Disk disk, long segmentBytes) throws IOException {
        SegmentedLog log = new SegmentedLog(disk, segmentBytes);
        try {
            log.recover();
            return log;
        } catch (IOException e) {
            log.close();
            throw e;
        }
    }

    /** Whether there is no snapshot yet; then {@link #replaceWithSnapshot} has to come first. */
    public boolean isEmpty() {
        return current == null;
    }

    /**
     * Where there is no snapshot: requires that this comes from a creation that never ended.
     *
     * @param mostFirstBytes how long the first snapshot may be
     * @throws DamagedLogException where a file holds more than a first snapshot, so was in use
     */
    void requireNeverUsed(long mostFirstBytes) throws DamagedLogException {
        if (isEmpty() && unreadableBytes > Segment.HEADER_BYTES + mostFirstBytes) {
            throw new DamagedLogException(Segment.name(FIRST_NUMBER), 0);
        }
    }

    /** The snapshot and the records after it, as found at opening; handed out once. */
    public List<byte[]> takeRecoveredRecords() {
        List<byte[]> taken = recovered;
        recovered = List.of();
        return taken;
    }

    /** Writes records behind the others. They count once {@link #sync} has returned. */
    public void append(List<byte[]> records) throws IOException {
        if (isEmpty()) {
            throw new IllegalStateException("a log begins with a snapshot");
        }
        for (byte[] record : records) {
            requireFit(record);
            current.append(nextSequence++, record);
        }
    }

    /** Makes lasting what was appended. */
    public void sync() throws IOException {
        current.sync();
    }

    /** Whether a snapshot is due. */
    public boolean isSnapshotDue() {
        return !isEmpty() && current.end() - snapshotEnd >= segmentBytes;
    }

    /** Puts a snapshot in place of all records; it lasts once this has returned. */
    public void replaceWithSnapshot(byte[] snapshot) throws IOException {
        requireFit(snapshot);
        removeLeftovers();
        boolean firstIsLeft = isEmpty() && leftovers.contains(Segment.name(FIRST_NUMBER));
        if (firstIsLeft || leftovers.size() >= MOST_LEFTOVERS) {
            throw new IOException("old segments can't be removed");
        }
        long number = isEmpty() ? FIRST_NUMBER : nextNumber++;
        Segment next;
        try {
            next = Segment.create(disk, number, nextSequence++, snapshot);
        } catch (IOException e) {
            leftovers.add(Segment.name(number));
            removeLeftovers();
            throw e;
        }
        if (current != null) {
            current.closeQuietly();
            leftovers.add(Segment.name(current.number()));
        }
        current = next;
        snapshotEnd = next.end();
        removeLeftovers();
    }

    @Override
    public void close() {
        if (current != null) {
            current.closeQuietly();
        }
    }

    private void recover() throws IOException {
        for (String name : disk.listFiles()) {
            long number = Segment.numberOf(name);
            if (number >= 0) {
                leftovers.add(name);
                nextNumber = Math.max(nextNumber, number + 1);
                consider(Segment.open(disk, number));
            }
        }
        requireNothingLost();
        if (current == null) {
            return;
        }
        leftovers.remove(Segment.name(current.number()));
        current.sync();
        disk.syncDirectory();
        recovered = current.takeRecords();
        snapshotEnd = Segment.HEADER_BYTES + recovered.get(0).length;
        removeLeftovers();
    }

    /** A file after the first one is begun only while another is intact, and that one goes only later. */
    private void requireNothingLost() throws DamagedLogException {
        if (damaged != null && (current == null || damaged.provenSequence() > current.lastSequence())) {
            throw damaged.damage();
        }
        for (String name : leftovers) {
            if (current == null && Segment.numberOf(name) > FIRST_NUMBER) {
                throw new DamagedLogException(name, 0);
            }
        }
    }

    private void consider(Segment found) {
        nextSequence = Math.max(nextSequence, Math.max(found.lastSequence(), found.provenSequence()) + 1);
        if (found.provenSequence() > (damaged == null ? 0 : damaged.provenSequence())) {
            damaged = found;
        }
        if (!found.isReadable() && found.number() == FIRST_NUMBER) {
            unreadableBytes = found.size();
        }
        boolean better = found.isReadable() && (current == null || found.lastSequence() > current.lastSequence());
        Segment worse = better ? current : found;
        if (better) {
            current = found;
        }
        if (worse != null) {
            worse.closeQuietly();
        }
    }

    /** A file that can't be removed now is tried again at the next compaction. */
    private void removeLeftovers() {
        if (leftovers.isEmpty()) {
            return;
        }
        try {
            for (Iterator<String> names = leftovers.iterator(); names.hasNext(); ) {
                disk.remove(names.next());
                names.remove();
            }
            disk.syncDirectory();
        } catch (IOException e) {
            // What is left is harmless: its sequences are below those in force.
        }
    }

    private static void requireFit(byte[] record) throws IOException {
        if (record.length > MAX_RECORD_BYTES) {
            throw new IOException("record of " + record.length + " bytes");
        }
    }
}
