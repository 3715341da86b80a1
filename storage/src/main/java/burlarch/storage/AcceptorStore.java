package burlarch.storage;

import burlarch.coordination.register.AcceptorState;
import java.io.Closeable;
import java.io.IOException;
import java.util.List;
import java.util.function.Supplier;

/**
 * What one acceptor must not forget, on its disk: who it is, what it promised and accepted, and a few named
 * values beside.
 *
 * <p>An empty disk gets a new identity, which is durable before anyone sees it. Not safe for use by several
 * threads; calls may wait on the disk for long.
 */
public final class AcceptorStore implements Closeable {
    /** The longest payload of a value; a snapshot of all then fits a record. */
    public static final int MAX_VALUE_BYTES = 6 * 1024 * 1024;
    /** How many named values there may be. */
    public static final int MAX_NAMED_VALUES = 16;
    /** The longest named value. */
    public static final int MAX_NAMED_VALUE_BYTES = 64 * 1024;

    /** The first snapshot holds an identity and nothing else. */
    private static final int MAX_FIRST_SNAPSHOT_BYTES = 512;

    private final SegmentedLog log;
    private final AcceptorStoreContents stored = new AcceptorStoreContents();
    private boolean createdNow;

    private AcceptorStore(SegmentedLog log) {
        this.log = log;
    }

    /** Opens the store of a disk with the log's usual size. */
    public static AcceptorStore open(Disk disk, Supplier<String> newIdentity) throws IOException {
        return open(disk, newIdentity, SegmentedLog.DEFAULT_SEGMENT_BYTES);
    }

    /**
     * Opens the store of a disk.
     *
     * @param newIdentity asked where the disk is empty, for an identity that no other disk ever has
     * @param segmentBytes how much is written between two snapshots
     * @throws DamagedLogException where the disk once held more than can be read: it must not vote
     * @throws IOException if the disk can't be read, or made lasting; opening may be tried again
     */
    public static AcceptorStore open(Disk disk, Supplier<String> newIdentity, long segmentBytes) throws IOException {
        AcceptorStore store = new AcceptorStore(SegmentedLog.open(disk, segmentBytes));
        try {
            store.load(newIdentity);
            return store;
        } catch (IOException e) {
            store.close();
            throw e;
        }
    }

    /** Identity of this disk. */
    public String identity() {
        return stored.identity;
    }

    /** Whether the disk was empty when it was opened. */
    public boolean isNewlyCreated() {
        return createdNow;
    }

    /** The state saved last. */
    public AcceptorState state() {
        return stored.state;
    }

    /**
     * Makes a state durable.
     *
     * @throws IOException if it may not have lasted; the store then holds the one before, and may be used on
     */
    public void save(AcceptorState next) throws IOException {
        if (next.value() != null && next.value().payload().length > MAX_VALUE_BYTES) {
            throw new IOException("a value of " + next.value().payload().length + " bytes");
        }
        AcceptorState before = stored.state;
        byte[] record = AcceptorRecordCodec.change(before, next);
        stored.state = next;
        try {
            write(record);
        } catch (IOException e) {
            stored.state = before;
            throw e;
        }
    }

    /** A named value, or null. */
    public byte[] namedValue(String key) {
        byte[] value = stored.extras.get(key);
        return value == null ? null : value.clone();
    }

    /** Makes a named value durable; throws as {@link #save} does. */
    public void saveNamedValue(String key, byte[] value) throws IOException {
        boolean isNew = !stored.extras.containsKey(key);
        if (value.length > MAX_NAMED_VALUE_BYTES || (isNew && stored.extras.size() == MAX_NAMED_VALUES)) {
            throw new IllegalArgumentException("too many or too large named values");
        }
        byte[] record = AcceptorRecordCodec.extra(key, value);
        byte[] before = stored.extras.put(key, value.clone());
        try {
            write(record);
        } catch (IOException e) {
            if (isNew) {
                stored.extras.remove(key);
            } else {
                stored.extras.put(key, before);
            }
            throw e;
        }
    }

    @Override
    public void close() {
        log.close();
    }

    private void load(Supplier<String> newIdentity) throws IOException {
        if (log.isEmpty()) {
            log.requireNeverUsed(MAX_FIRST_SNAPSHOT_BYTES);
            stored.identity = newIdentity.get();
            log.replaceWithSnapshot(AcceptorRecordCodec.snapshot(stored));
            createdNow = true;
            return;
        }
        for (byte[] record : log.takeRecoveredRecords()) {
            AcceptorRecordCodec.apply(record, stored);
        }
    }

    private void write(byte[] record) throws IOException {
        if (log.isSnapshotDue()) {
            log.replaceWithSnapshot(AcceptorRecordCodec.snapshot(stored));
        } else {
            log.append(List.of(record));
            log.sync();
        }
    }
}
