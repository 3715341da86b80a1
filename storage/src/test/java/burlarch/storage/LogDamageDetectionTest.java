package burlarch.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Damage to synced records is reported, and told apart from a torn tail: an acceptor that lost a promise or a value
 * must not vote. Invariant <i>proof of sync</i>.
 */
class LogDamageDetectionTest {
    private static final int SAVES = 17;

    private final FaultInjectingDisk disk = new FaultInjectingDisk(9);
    private final AcceptorStoreScenario scenario = new AcceptorStoreScenario();

    /** Stricter than to report damage: each byte of each record, the newest included, has a copy to read instead. */
    @Test
    void damageToAnyByteOfTheLogIsRepaired() throws IOException {
        scenario.open(disk);
        scenario.saveNextStates(SAVES);
        String name = disk.listFiles().get(0);
        assertThat(name).as("snapshots were taken").isNotEqualTo("segment-1");
        long size = disk.open(name).sizeBytes();
        assertThat(size).isGreaterThan(100);
        for (long at = 0; at < size; at++) {
            byte[] before = content(disk, name);
            flip(disk, name, at);
            AcceptorStore store = AcceptorStore.open(disk, () -> "other", AcceptorStoreScenario.SEGMENT_BYTES);
            assertThat(store.identity()).as("byte %d of %d", at, size).isEqualTo("disk-1");
            assertThat(store.state().prepared().term()).isEqualTo(SAVES);
            restore(disk, name, before);
        }
    }

    /** A run of damaged bytes that ends one record and begins the next leaves one copy of each. */
    @Test
    void damageAcrossTheBorderOfTwoChangesIsRepaired() throws IOException {
        scenario.open(disk);
        scenario.saveNextStates(SAVES);
        String name = disk.listFiles().get(0);
        List<Integer> records = recordOffsets(disk, name);
        for (int i = 2; i < records.size(); i += 2) {
            byte[] before = content(disk, name);
            for (int at = records.get(i) - 8; at < records.get(i) + 8; at++) {
                flip(disk, name, at);
            }
            AcceptorStore store = AcceptorStore.open(disk, () -> "other", AcceptorStoreScenario.SEGMENT_BYTES);
            assertThat(store.identity()).as("border at %d", records.get(i)).isEqualTo("disk-1");
            assertThat(store.state().prepared().term()).isEqualTo(SAVES);
            restore(disk, name, before);
        }
    }

    @Test
    void damageToBothCopiesBeforeTheNewestRecordIsReportedWithFileAndOffset() throws IOException {
        scenario.open(disk);
        scenario.saveNextStates(SAVES);
        String name = disk.listFiles().get(0);
        List<Integer> records = recordOffsets(disk, name);
        int refusals = 0;
        for (int i = 0; i + 2 < records.size(); i += 2) {
            byte[] before = content(disk, name);
            flip(disk, name, records.get(i) + SegmentRecord.HEADER_BYTES);
            flip(disk, name, records.get(i + 1) + SegmentRecord.HEADER_BYTES);
            assertThatThrownBy(() -> scenario.open(disk))
                    .as("pair at %d", records.get(i))
                    .isInstanceOf(DamagedLogException.class)
                    .hasMessageContaining(name + " is damaged at byte " + records.get(i));
            refusals++;
            restore(disk, name, before);
        }
        assertThat(refusals).isGreaterThan(1);
        scenario.open(disk);
    }

    /** Records that an earlier release wrote once: damage to each byte before the last of them is reported. */
    @Test
    void damageToASingleRecordIsReportedWithFileAndOffset() throws IOException {
        SegmentedLog log = SegmentedLog.open(disk, 10_000);
        log.replaceWithSnapshot(new byte[10]);
        for (int i = 0; i < 6; i++) {
            log.append(List.of(new byte[10]));
            log.sync();
        }
        int record = SegmentRecord.HEADER_BYTES + 10;
        for (int at = 0; at < 6 * record; at++) {
            flip(disk, "segment-1", at);
            for (Redundancy redundancy : Redundancy.values()) {
                assertThatThrownBy(() -> SegmentedLog.open(disk, 10_000, redundancy))
                        .as("byte %d", at)
                        .isInstanceOf(DamagedLogException.class)
                        .hasMessageContaining("segment-1 is damaged at byte ");
            }
            flip(disk, "segment-1", at);
        }
    }

    /** So a mirrored record never stands behind one without a copy, where gaps would be ambiguous. */
    @Test
    void aLogOfSingleRecordsIsReplacedBeforeTheFirstMirroredOne() throws IOException {
        SegmentedLog single = SegmentedLog.open(disk, 10_000);
        single.replaceWithSnapshot(new byte[10]);
        single.append(List.of(new byte[10]));
        single.sync();

        SegmentedLog mirrored = SegmentedLog.open(disk, 10_000, Redundancy.MIRRORED);
        assertThat(mirrored.isSnapshotDue()).isTrue();
        mirrored.replaceWithSnapshot(new byte[10]);

        assertThat(mirrored.isSnapshotDue()).isFalse();
        assertThat(SegmentedLog.open(disk, 10_000, Redundancy.MIRRORED).isSnapshotDue())
                .isFalse();
    }

    @Test
    void offsetIsThatOfTheDamagedRecord() throws IOException {
        SegmentedLog log = SegmentedLog.open(disk, 10_000);
        log.replaceWithSnapshot(new byte[10]);
        for (int i = 0; i < 4; i++) {
            log.append(List.of(new byte[10]));
            log.sync();
        }
        int record = SegmentRecord.HEADER_BYTES + 10;
        flip(disk, "segment-1", 2L * record + SegmentRecord.HEADER_BYTES + 3);
        assertThatThrownBy(() -> SegmentedLog.open(disk, 10_000))
                .isInstanceOf(DamagedLogException.class)
                .hasMessageContaining("segment-1 is damaged at byte " + 2 * record);
    }

    @Test
    void aDamagedSegmentThatWasReplacedIsIgnored() throws IOException {
        SegmentedLog log = SegmentedLog.open(disk, 10_000);
        log.replaceWithSnapshot(new byte[10]);
        log.append(List.of(new byte[10]));
        log.sync();
        log.append(List.of(new byte[10]));
        log.sync();
        byte[] old = content(disk, "segment-1");
        log.replaceWithSnapshot(new byte[] {7});
        DiskFile back = disk.create("segment-1");
        back.write(0, ByteBuffer.wrap(old));
        flip(disk, "segment-1", SegmentRecord.HEADER_BYTES + 1);
        assertThat(SegmentedLog.open(disk, 10_000).takeRecoveredRecords()).containsExactly(new byte[] {7});
    }

    /** Otherwise the disk would count as new, and at the first start get its old identity without its promises. */
    @Test
    void aDiskWithUnreadableSegmentsIsNotTakenForANewOne() throws IOException {
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
    void anUnfinishedFirstCreationIsRepeated() throws IOException {
        disk.create("segment-1").write(0, ByteBuffer.wrap(new byte[20]));
        scenario.open(disk);
        assertThat(scenario.store.isNewlyCreated()).isTrue();
        assertThat(disk.listFiles()).containsExactly("segment-1");
    }

    @Test
    void aDiskWithADamagedSnapshotAloneIsNotTakenForANewOne() throws IOException {
        scenario.open(disk);
        do {
            scenario.saveNextStates(1);
        } while (recordOffsets(disk, disk.listFiles().get(0)).size() > 2);
        String name = disk.listFiles().get(0);
        for (int record : recordOffsets(disk, name)) {
            flip(disk, name, record + SegmentRecord.HEADER_BYTES + 5);
        }
        assertThatThrownBy(() -> scenario.open(disk)).isInstanceOf(DamagedLogException.class);
    }

    /** The limit of detection: nothing follows the newest record that proves it was synced. */
    @Test
    void damageToBothCopiesOfTheNewestRecordLooksLikeATornTail() throws IOException {
        scenario.open(disk);
        scenario.saveNextStates(SAVES);
        String name = disk.listFiles().get(0);
        List<Integer> records = recordOffsets(disk, name);
        flip(disk, name, records.get(records.size() - 1));
        flip(disk, name, records.get(records.size() - 2));
        AcceptorStore store = AcceptorStore.open(disk, () -> "other", AcceptorStoreScenario.SEGMENT_BYTES);
        assertThat(store.identity()).isEqualTo("disk-1");
        assertThat(store.state().prepared().term()).isEqualTo(SAVES - 1);
    }

    private static List<Integer> recordOffsets(Disk disk, String name) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(content(disk, name));
        List<Integer> offsets = new ArrayList<>();
        int next = 0;
        while (next < bytes.capacity()) {
            offsets.add(next);
            next += SegmentRecord.HEADER_BYTES + bytes.getInt(next);
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

    private static void flip(Disk disk, String name, long at) throws IOException {
        DiskFile file = disk.open(name);
        ByteBuffer one = ByteBuffer.allocate(1);
        file.read(at, one);
        file.write(at, ByteBuffer.wrap(new byte[] {(byte) (one.get(0) ^ 0x10)}));
    }
}
