package burlarch.storage;

import burlarch.coordination.register.AcceptorState;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The contents of the golden records and golden segment files, by file name. */
final class GoldenRecords {
    static final String IDENTITY = "disk-1";
    static final String VALUE_NAME = "first-members";
    static final byte[] NAMED_VALUE = "10.0.0.1:7001\n10.0.0.2:7001".getBytes(StandardCharsets.UTF_8);
    static final AcceptorState ACCEPTED = new AcceptorState(
            new ProposalNumber(1L << 40, "controller-1"),
            new ProposalNumber(1L << 40, "controller-1"),
            new RegisterValue(
                    List.of(
                            new AcceptorMember("disk-1", "10.0.0.1:7001"),
                            new AcceptorMember("+disk-2", "10.0.0.2:7001")),
                    new byte[] {0, -1, 127, -128}));
    static final AcceptorState PREPARED_AFTER_ACCEPTED = new AcceptorState(
            new ProposalNumber((1L << 40) + 1, "cöntroller-2"), ACCEPTED.accepted(), ACCEPTED.value());
    static final AcceptorState FIRST_PREPARED =
            new AcceptorState(new ProposalNumber(1, "controller-1"), AcceptorState.EMPTY.accepted(), null);

    private GoldenRecords() {}

    static Map<String, byte[]> encodedRecords() throws IOException {
        Map<String, byte[]> recordsByFileName = new LinkedHashMap<>();
        recordsByFileName.put(
                "snapshot-empty", AcceptorRecordCodec.encodeSnapshot(contents(AcceptorState.EMPTY, false)));
        recordsByFileName.put("snapshot", AcceptorRecordCodec.encodeSnapshot(contents(ACCEPTED, true)));
        recordsByFileName.put("promise", AcceptorRecordCodec.encodeChange(ACCEPTED, PREPARED_AFTER_ACCEPTED));
        recordsByFileName.put("first-promise", AcceptorRecordCodec.encodeChange(AcceptorState.EMPTY, FIRST_PREPARED));
        recordsByFileName.put("accept", AcceptorRecordCodec.encodeChange(FIRST_PREPARED, ACCEPTED));
        recordsByFileName.put("extra", AcceptorRecordCodec.encodeNamedValue(VALUE_NAME, NAMED_VALUE));
        return recordsByFileName;
    }

    static AcceptorStoreContents contents(AcceptorState state, boolean withNamedValue) {
        AcceptorStoreContents contents = new AcceptorStoreContents();
        contents.identity = IDENTITY;
        contents.state = state;
        if (withNamedValue) {
            contents.namedValues.put(VALUE_NAME, NAMED_VALUE);
        }
        return contents;
    }

    /** Writes the contents of the golden store to an empty disk. */
    static void fillStore(Disk disk) throws IOException {
        try (AcceptorStore store = AcceptorStore.open(disk, () -> IDENTITY)) {
            store.save(FIRST_PREPARED);
            store.saveNamedValue(VALUE_NAME, NAMED_VALUE);
            store.save(ACCEPTED);
            store.save(PREPARED_AFTER_ACCEPTED);
        }
    }

    /** Writes the contents of the golden log segment, with records of all kinds, to an empty disk. */
    static void fillLog(Disk disk) throws IOException {
        try (SegmentedLog log = SegmentedLog.open(disk, SegmentedLog.DEFAULT_SEGMENT_BYTES)) {
            log.replaceWithSnapshot(new byte[] {9});
            log.append(List.of(new byte[] {1}, new byte[] {2, 2}));
            log.sync();
            log.append(List.of(new byte[0]));
            log.sync();
        }
    }
}
