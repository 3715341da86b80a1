package burlarch.storage;

import burlarch.coordination.register.AcceptorState;
import java.io.Closeable;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The durable state of one register acceptor: its identity, the highest proposal number it prepared, the value it
 * accepted, and a few named values of the controller beside it.
 *
 * <p><b>Durable before acknowledged.</b> {@link #save} and {@link #saveNamedValue} return only after the new state is
 * synced; an acceptor replies to a request only after that. So no reply is ever based on a state that a power failure
 * can take back.
 *
 * <p><b>Memory follows the disk.</b> If a save fails, the store still holds the state before it and can be used on. The
 * outcome on the disk is open: a restart may find either state.
 *
 * <p><b>One damaged copy is repaired.</b> Each record is written twice with one sync. So damage to one place of the
 * disk, the newest record included, never makes an acceptor vote without what it has promised or accepted.
 *
 * <p><b>Identity.</b> An empty disk gets a new identity, which is durable before anyone sees it. A disk that once held
 * records is never taken for an empty one ({@link DamagedLogException}): it would come back under its old identity
 * without its promises.
 *
 * <p>One thread owns a store; calls may block on the disk for long.
 */
public final class AcceptorStore implements Closeable {
    /** The longest payload of a value. A snapshot of a value and all named values then fits one record. */
    public static final int MAX_VALUE_BYTES = 6 * 1024 * 1024;
    /** How many named values there may be. */
    public static final int MAX_NAMED_VALUES = 16;
    /** The longest named value. */
    public static final int MAX_NAMED_VALUE_BYTES = 64 * 1024;

    /** The first snapshot holds an identity and the first named values, which are short. */
    private static final int MAX_FIRST_SNAPSHOT_BYTES = 512;

    private final SegmentedLog log;
    private final AcceptorStoreContents contents = new AcceptorStoreContents();
    private boolean isNewlyCreated;

    private AcceptorStore(SegmentedLog log) {
        this.log = log;
    }

    /** Opens the store of a disk with {@link SegmentedLog#DEFAULT_SEGMENT_BYTES} between two snapshots. */
    public static AcceptorStore open(Disk disk, Supplier<String> newIdentity) throws IOException {
        return open(disk, newIdentity, SegmentedLog.DEFAULT_SEGMENT_BYTES);
    }

    /**
     * Opens the store of a disk. The caller closes it.
     *
     * @param newIdentity called if the disk is empty: an identity that no other disk ever has
     * @param segmentBytes how much is written between two snapshots
     * @throws DamagedLogException if synced records are lost; the acceptor must not vote, and opening again does not
     *     help
     * @throws IOException if the disk cannot be read or synced; opening may be tried again
     */
    public static AcceptorStore open(Disk disk, Supplier<String> newIdentity, long segmentBytes) throws IOException {
        return open(disk, newIdentity, Map.of(), segmentBytes);
    }

    /**
     * Opens the store of a disk, as the shorter form does.
     *
     * @param firstNamedValues named values of a disk that is empty: they become durable together with its identity
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

    /** Returns the identity of this disk. */
    public String identity() {
        return contents.identity;
    }

    /** Returns whether the disk was empty when it was opened. */
    public boolean isNewlyCreated() {
        return isNewlyCreated;
    }

    /** Returns the state that was saved last. */
    public AcceptorState state() {
        return contents.state;
    }

    /**
     * Makes a state durable.
     *
     * @throws IOException if the value is too large, or if the state may not be durable; the store then holds the state
     *     before it, and may be used on
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

    /** Returns a copy of a named value; empty if there is none of that name. */
    public Optional<byte[]> namedValue(String name) {
        return Optional.ofNullable(contents.namedValues.get(name)).map(byte[]::clone);
    }

    /**
     * Makes a named value durable.
     *
     * @throws IllegalArgumentException if the value is too large, or if there are too many
     * @throws IOException as {@link #save} does
     */
    public void saveNamedValue(String name, byte[] value) throws IOException {
        boolean isNew = !contents.namedValues.containsKey(name);
        if (value.length > MAX_NAMED_VALUE_BYTES || (isNew && contents.namedValues.size() == MAX_NAMED_VALUES)) {
            throw new IllegalArgumentException("too many or too large named values");
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

    /** Writes the change, or a snapshot of the contents that hold the change already. */
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
            throw new IOException("a value of " + state.value().payload().length + " bytes is too large");
        }
    }
}
