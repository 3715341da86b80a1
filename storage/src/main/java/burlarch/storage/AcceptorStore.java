package burlarch.storage;

import burlarch.coordination.register.AcceptorState;
import java.io.Closeable;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Stores the durable state of one register acceptor: its identity, the highest proposal number it prepared, the value
 * it accepted, and a few named values of the controller that runs the acceptor.
 *
 * <p><b>Durable before acknowledged.</b> {@link #save} and {@link #saveNamedValue} return only after the new state is
 * synced; an acceptor replies to a request only after that. So a power failure never reverts a state on which a reply
 * was based.
 *
 * <p><b>Unchanged after a failed save.</b> If a save fails, the store still holds the previous state and remains
 * usable. Which state is on the disk is unknown: a restart may find either.
 *
 * <p><b>One damaged copy is repaired.</b> Each record is written twice with one sync. So damage at one place of the
 * disk, even to the newest record, never makes an acceptor vote without the state it has prepared or accepted.
 *
 * <p><b>Identity.</b> An empty disk gets a new identity, which is durable before any caller can read it. A disk that
 * once held records is never treated as empty ({@link DamagedLogException}): the acceptor would return under its old
 * identity without the proposal numbers it prepared.
 *
 * <p>Owned by one thread; calls may block on the disk for a long time.
 */
public final class AcceptorStore implements Closeable {
    /** Maximum payload of a value, so that a snapshot of a value and all named values fits in one record. */
    public static final int MAX_VALUE_BYTES = 6 * 1024 * 1024;
    /** Maximum number of named values. */
    public static final int MAX_NAMED_VALUES = 16;
    /** Maximum length of one named value. */
    public static final int MAX_NAMED_VALUE_BYTES = 64 * 1024;

    /** The first snapshot holds an identity and the first named values, which are short. */
    private static final int MAX_FIRST_SNAPSHOT_BYTES = 512;

    private final SegmentedLog log;
    private final AcceptorStoreContents contents = new AcceptorStoreContents();
    private boolean isNewlyCreated;

    private AcceptorStore(SegmentedLog log) {
        this.log = log;
    }

    /** Opens the store on a disk, with {@link SegmentedLog#DEFAULT_SEGMENT_BYTES} between two snapshots. */
    public static AcceptorStore open(Disk disk, Supplier<String> newIdentity) throws IOException {
        return open(disk, newIdentity, SegmentedLog.DEFAULT_SEGMENT_BYTES);
    }

    /**
     * Opens the store on a disk. The caller closes it.
     *
     * @param newIdentity called if the disk is empty; supplies an identity that no other disk ever has
     * @param segmentBytes bytes of records written between two snapshots
     * @throws DamagedLogException if synced records are lost; the acceptor must not vote, and opening again does not
     *     help
     * @throws IOException if the disk cannot be read or synced; opening may be retried
     */
    public static AcceptorStore open(Disk disk, Supplier<String> newIdentity, long segmentBytes) throws IOException {
        return open(disk, newIdentity, Map.of(), segmentBytes);
    }

    /**
     * As {@link #open(Disk, Supplier, long)}, with initial named values for an empty disk.
     *
     * @param firstNamedValues named values stored if the disk is empty; they become durable together with its identity
     */
    public static AcceptorStore open(
            Disk disk, Supplier<String> newIdentity, Map<String, byte[]> firstNamedValues, long segmentBytes)
            throws IOException {
        AcceptorStore store = new AcceptorStore(SegmentedLog.open(disk, segmentBytes, Redundancy.MIRRORED));
        try {
            store.load(newIdentity, firstNamedValues);
            return store;
        } catch (IOException e) {
            store.close();
            throw e;
        }
    }

    /** Returns the identity stored on this disk. */
    public String identity() {
        return contents.identity;
    }

    /** Returns whether the disk was empty when it was opened. */
    public boolean isNewlyCreated() {
        return isNewlyCreated;
    }

    /** Returns the most recently saved state. */
    public AcceptorState state() {
        return contents.state;
    }

    /**
     * Makes a state durable.
     *
     * @throws IOException if the value is too large, or if the state may not be durable; the store then holds the
     *     previous state and remains usable
     */
    public void save(AcceptorState next) throws IOException {
        requireFits(next);
        AcceptorState before = contents.state;
        byte[] record = AcceptorRecordCodec.encodeChange(before, next);
        contents.state = next;
        try {
            write(record);
        } catch (IOException e) {
            contents.state = before;
            throw e;
        }
    }

    /** Returns a copy of a named value; empty if there is no value of that name. */
    public Optional<byte[]> namedValue(String name) {
        return Optional.ofNullable(contents.namedValues.get(name)).map(byte[]::clone);
    }

    /**
     * Makes a named value durable.
     *
     * @throws IllegalArgumentException if the value is too large, or if there are too many named values
     * @throws IOException as {@link #save} does
     */
    public void saveNamedValue(String name, byte[] value) throws IOException {
        boolean isNew = !contents.namedValues.containsKey(name);
        if (value.length > MAX_NAMED_VALUE_BYTES || (isNew && contents.namedValues.size() == MAX_NAMED_VALUES)) {
            throw new IllegalArgumentException("named value is too large, or there are too many named values");
        }
        byte[] record = AcceptorRecordCodec.encodeNamedValue(name, value);
        byte[] before = contents.namedValues.put(name, value.clone());
        try {
            write(record);
        } catch (IOException e) {
            if (isNew) {
                contents.namedValues.remove(name);
            } else {
                contents.namedValues.put(name, before);
            }
            throw e;
        }
    }

    @Override
    public void close() {
        log.close();
    }

    private void load(Supplier<String> newIdentity, Map<String, byte[]> firstNamedValues) throws IOException {
        if (log.isEmpty()) {
            createIdentity(newIdentity, firstNamedValues);
            return;
        }
        for (byte[] record : log.takeRecoveredRecords()) {
            AcceptorRecordCodec.apply(record, contents);
        }
    }

    private void createIdentity(Supplier<String> newIdentity, Map<String, byte[]> firstNamedValues) throws IOException {
        log.requireNeverUsed(MAX_FIRST_SNAPSHOT_BYTES);
        contents.identity = newIdentity.get();
        contents.namedValues.putAll(firstNamedValues);
        log.replaceWithSnapshot(AcceptorRecordCodec.encodeSnapshot(contents));
        isNewlyCreated = true;
    }

    /** Writes the change record, or a snapshot if one is due; the contents include the change already. */
    private void write(byte[] changeRecord) throws IOException {
        if (log.isSnapshotDue()) {
            log.replaceWithSnapshot(AcceptorRecordCodec.encodeSnapshot(contents));
        } else {
            log.append(List.of(changeRecord));
            log.sync();
        }
    }

    private static void requireFits(AcceptorState state) throws IOException {
        if (state.value() != null && state.value().payload().length > MAX_VALUE_BYTES) {
            throw new IOException(
                    "value of " + state.value().payload().length + " bytes exceeds the maximum value size");
        }
    }
}
