package burlarch.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that damage to synced records is repaired or reported, and distinguished from a torn tail: an acceptor that
 * lost a prepared number or an accepted value must not vote. Invariant <i>proof of sync</i>.
 */
class LogDamageDetectionTest {
    private static final int SAVES = 17;

    private final FaultInjectingDisk disk = new FaultInjectingDisk(9);
    private final AcceptorStoreScenario scenario = new AcceptorStoreScenario();

    /**
     * Each byte of each record, including the newest, has a copy that is read instead; so damage is repaired, not only
     * reported.
     */
    @Test
    void damageToAnySingleByteIsRepaired() throws IOException {
        scenario.open(disk);
        scenario.saveNextStates(SAVES);
        String name = disk.listFiles().get(0);
        assertThat(name).as("snapshots were taken").isNotEqualTo("segment-1");
        long size = disk.open(name).sizeBytes();
        assertThat(size).isGreaterThan(100);
        for (long offset = 0; offset < size; offset++) {
            byte[] original = content(disk, name);
            flipBit(disk, name, offset);
            AcceptorStore store = AcceptorStore.open(disk, () -> "other", AcceptorStoreScenario.SEGMENT_BYTES);
            assertThat(store.identity()).as("byte %d of %d", offset, size).isEqualTo("disk-1");
            assertThat(store.state().prepared().term()).isEqualTo(SAVES);
            restore(disk, name, original);
        }
    }

    /** Damage that covers the end of one record and the start of the next leaves one copy of each intact. */
    @Test
    void damageAcrossTheBoundaryOfTwoRecordsIsRepaired() throws IOException {
        scenario.open(disk);
        scenario.saveNextStates(SAVES);
        String name = disk.listFiles().get(0);
        List<Integer> offsets = recordOffsets(disk, name);
        for (int i = 2; i < offsets.size(); i += 2) {
            byte[] original = content(disk, name);
            for (int offset = offsets.get(i) - 8; offset < offsets.get(i) + 8; offset++) {
                flipBit(disk, name, offset);
            }
            AcceptorStore store = AcceptorStore.open(disk, () -> "other", AcceptorStoreScenario.SEGMENT_BYTES);
            assertThat(store.identity()).as("boundary at %d", offsets.get(i)).isEqualTo("disk-1");
            assertThat(store.state().prepared().term()).isEqualTo(SAVES);
            restore(disk, name, original);
        }
    }

    @Test
    void damageToBothCopiesBeforeTheNewestRecordIsReportedWithFileAndOffset() throws IOException {
        scenario.open(disk);
        scenario.saveNextStates(SAVES);
        String name = disk.listFiles().get(0);
        List<Integer> offsets = recordOffsets(disk, name);
        int reportCount = 0;
        for (int i = 0; i + 2 < offsets.size(); i += 2) {
            byte[] original = content(disk, name);
            flipBit(disk, name, offsets.get(i) + SegmentRecord.HEADER_BYTES);
            flipBit(disk, name, offsets.get(i + 1) + SegmentRecord.HEADER_BYTES);
            assertThatThrownBy(() -> scenario.open(disk))
                    .as("pair at %d", offsets.get(i))
                    .isInstanceOf(DamagedLogException.class)
                    .hasMessageContaining(name + " is damaged at byte " + offsets.get(i));
            reportCount++;
            restore(disk, name, original);
        }
        assertThat(reportCount).isGreaterThan(1);
        scenario.open(disk);
    }

    /**
     * In a log that an earlier release wrote without copies, damage to each byte before the last record is reported.
     */
    @Test
    void damageToASingleRecordIsReportedWithFileAndOffset() throws IOException {
        SegmentedLog log = SegmentedLog.open(disk, 10_000);
        log.replaceWithSnapshot(new byte[10]);
        for (int i = 0; i < 6; i++) {
            log.append(List.of(new byte[10]));
            log.sync();
        }
        int recordBytes = SegmentRecord.HEADER_BYTES + 10;
        for (int offset = 0; offset < 6 * recordBytes; offset++) {
            flipBit(disk, "segment-1", offset);
            for (Redundancy redundancy : Redundancy.values()) {
                assertThatThrownBy(() -> SegmentedLog.open(disk, 10_000, redundancy))
                        .as("byte %d", offset)
                        .isInstanceOf(DamagedLogException.class)
                        .hasMessageContaining("segment-1 is damaged at byte ");
            }
            flipBit(disk, "segment-1", offset);
        }
    }

    /** Prevents a mirrored record behind one without a copy, where gaps would be ambiguous. */
    @Test
    void logWithoutCopiesIsReplacedBeforeTheFirstMirroredRecord() throws IOException {
        SegmentedLog unmirrored = SegmentedLog.open(disk, 10_000);
        unmirrored.replaceWithSnapshot(new byte[10]);
        unmirrored.append(List.of(new byte[10]));
        unmirrored.sync();

        SegmentedLog mirrored = SegmentedLog.open(disk, 10_000, Redundancy.MIRRORED);
        assertThat(mirrored.isSnapshotDue()).isTrue();
        mirrored.replaceWithSnapshot(new byte[10]);

        assertThat(mirrored.isSnapshotDue()).isFalse();
        assertThat(SegmentedLog.open(disk, 10_000, Redundancy.MIRRORED).isSnapshotDue())
                .isFalse();
    }

    @Test
    void reportedOffsetIsThatOfTheDamagedRecord() throws IOException {
        SegmentedLog log = SegmentedLog.open(disk, 10_000);
        log.replaceWithSnapshot(new byte[10]);
        for (int i = 0; i < 4; i++) {
            log.append(List.of(new byte[10]));
            log.sync();
        }
        int recordBytes = SegmentRecord.HEADER_BYTES + 10;
        flipBit(disk, "segment-1", 2L * recordBytes + SegmentRecord.HEADER_BYTES + 3);
        assertThatThrownBy(() -> SegmentedLog.open(disk, 10_000))
                .isInstanceOf(DamagedLogException.class)
                .hasMessageContaining("segment-1 is damaged at byte " + 2 * recordBytes);
    }

    @Test
    void damagedSegmentThatWasReplacedIsIgnored() throws IOException {
        SegmentedLog log = SegmentedLog.open(disk, 10_000);
        log.replaceWithSnapshot(new byte[10]);
        log.append(List.of(new byte[10]));
        log.sync();
        log.append(List.of(new byte[10]));
        log.sync();
        byte[] replacedContent = content(disk, "segment-1");
        log.replaceWithSnapshot(new byte[] {7});
        DiskFile restoredFile = disk.create("segment-1");
        restoredFile.write(0, ByteBuffer.wrap(replacedContent));
        flipBit(disk, "segment-1", SegmentRecord.HEADER_BYTES + 1);
        assertThat(SegmentedLog.open(disk, 10_000).takeRecoveredRecords()).containsExactly(new byte[] {7});
    }

    /**
     * Otherwise the disk would count as new, and the acceptor would get its old identity without the proposal numbers
     * it prepared.
     */
    @Test
    void diskWithUnreadableSegmentsDoesNotCountAsNew() throws IOException {
        disk.create("segment-4").write(0, ByteBuffer.wrap(new byte[20]));
        assertThatThrownBy(() -> scenario.open(disk))
                .isInstanceOf(DamagedLogException.class)
                .hasMessageContaining("segment-4 is damaged at byte 0");
        disk.remove("segment-4");
        disk.create("segment-1").write(0, ByteBuffer.wrap(new byte[2_000]));
        assertThatThrownBy(() -> scenario.open(disk))
                .isInstanceOf(DamagedLogException.class)
                .hasMessageContaining("segment-1 is damaged at byte 0");
    }

    @Test
    void unfinishedFirstCreationIsRepeated() throws IOException {
        disk.create("segment-1").write(0, ByteBuffer.wrap(new byte[20]));
        scenario.open(disk);
        assertThat(scenario.store.isNewlyCreated()).isTrue();
        assertThat(disk.listFiles()).containsExactly("segment-1");
    }

    @Test
    void diskWithOnlyADamagedSnapshotDoesNotCountAsNew() throws IOException {
        scenario.open(disk);
        do {
            scenario.saveNextStates(1);
        } while (recordOffsets(disk, disk.listFiles().get(0)).size() > 2);
        String name = disk.listFiles().get(0);
        for (int offset : recordOffsets(disk, name)) {
            flipBit(disk, name, offset + SegmentRecord.HEADER_BYTES + 5);
        }
        assertThatThrownBy(() -> scenario.open(disk)).isInstanceOf(DamagedLogException.class);
    }

    /** Limit of the detection: no record follows the newest one and proves that it was synced. */
    @Test
    void damageToBothCopiesOfTheNewestRecordLooksLikeATornTail() throws IOException {
        scenario.open(disk);
        scenario.saveNextStates(SAVES);
        String name = disk.listFiles().get(0);
        List<Integer> offsets = recordOffsets(disk, name);
        flipBit(disk, name, offsets.get(offsets.size() - 1));
        flipBit(disk, name, offsets.get(offsets.size() - 2));
        AcceptorStore store = AcceptorStore.open(disk, () -> "other", AcceptorStoreScenario.SEGMENT_BYTES);
        assertThat(store.identity()).isEqualTo("disk-1");
        assertThat(store.state().prepared().term()).isEqualTo(SAVES - 1);
    }

    private static List<Integer> recordOffsets(Disk disk, String name) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(content(disk, name));
        List<Integer> offsets = new ArrayList<>();
        int offset = 0;
        while (offset < bytes.capacity()) {
            offsets.add(offset);
            offset += SegmentRecord.HEADER_BYTES + bytes.getInt(offset);
        }
        return offsets;
    }

    private static void restore(Disk disk, String name, byte[] content) throws IOException {
        disk.open(name).write(0, ByteBuffer.wrap(content));
    }

    private static byte[] content(Disk disk, String name) throws IOException {
        DiskFile file = disk.open(name);
        ByteBuffer bytes = ByteBuffer.allocate((int) file.sizeBytes());
        file.read(0, bytes);
        return bytes.array();
    }

    private static void flipBit(Disk disk, String name, long offset) throws IOException {
        DiskFile file = disk.open(name);
        ByteBuffer buffer = ByteBuffer.allocate(1);
        file.read(offset, buffer);
        file.write(offset, ByteBuffer.wrap(new byte[] {(byte) (buffer.get(0) ^ 0x10)}));
    }
}
