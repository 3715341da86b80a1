package burlarch.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that a damaged log is set aside completely, even if the power fails at any operation. */
class DamagedLogQuarantineTest {
    /** Number of saves that leaves some records behind the newest snapshot. */
    private static final int SAVES = 10;

    private static final long SEGMENT_BYTES = 100_000;
    private static final int SEEDS = 40;
    /** More than the number of operations for the quarantine of one segment. */
    private static final int MAX_OPERATIONS = 40;

    private static FaultInjectingDisk damagedDisk(long seed) throws IOException {
        FaultInjectingDisk disk = new FaultInjectingDisk(seed);
        AcceptorStoreScenario scenario = new AcceptorStoreScenario();
        scenario.open(disk);
        scenario.saveNextStates(SAVES);
        String name = disk.listFiles().get(0);
        DiskFile file = disk.open(name);
        // Destroys both copies of the snapshot; the records behind them prove that they were synced.
        file.write(0, ByteBuffer.wrap(new byte[2 * firstRecordBytes(file)]));
        file.force();
        assertThatThrownBy(() -> scenario.open(disk)).isInstanceOf(DamagedLogException.class);
        return disk;
    }

    private static int firstRecordBytes(DiskFile file) throws IOException {
        ByteBuffer length = ByteBuffer.allocate(4);
        file.read(0, length);
        return SegmentRecord.HEADER_BYTES + length.getInt(0);
    }

    private static AcceptorStore open(Disk disk) throws IOException {
        return AcceptorStore.open(disk, () -> "new", SEGMENT_BYTES);
    }

    @Test
    void afterQuarantineTheDiskCountsAsEmptyAndTheDamagedSegmentIsKept() throws IOException {
        FaultInjectingDisk disk = damagedDisk(1);
        String segment = disk.listFiles().get(0);
        long size = disk.open(segment).sizeBytes();

        new DamagedLogQuarantine(disk).begin();

        assertThat(disk.listFiles()).containsExactly("damaged-" + segment);
        assertThat(disk.open("damaged-" + segment).sizeBytes()).isEqualTo(size);
        AcceptorStore store = open(disk);
        assertThat(store.isNewlyCreated()).isTrue();
        assertThat(store.identity()).isEqualTo("new");
    }

    @Test
    void filesOfAnEarlierQuarantineAreRemoved() throws IOException {
        FaultInjectingDisk disk = damagedDisk(1);
        disk.create("damaged-segment-99").force();

        new DamagedLogQuarantine(disk).begin();

        assertThat(disk.listFiles()).hasSize(1).doesNotContain("damaged-segment-99");
    }

    /** An older segment that is still present must never be opened as the newest. */
    @Test
    void powerLossAtAnyOperationNeverRestoresAnOlderState() throws IOException {
        for (long seed = 1; seed <= SEEDS; seed++) {
            for (int operation = 1; operation <= MAX_OPERATIONS; operation++) {
                FaultInjectingDisk disk = withOlderSegment(damagedDisk(seed));
                disk.losePowerAtOperation = disk.operations + operation;
                try {
                    new DamagedLogQuarantine(disk).begin();
                    disk.losePowerAtOperation = 0;
                } catch (FaultInjectingDisk.PowerLoss e) {
                    disk = disk.afterPowerLoss();
                }
                assertOldStateIsGone(disk);
            }
        }
    }

    /** Adds an older segment whose removal was reverted by a power failure. */
    private static FaultInjectingDisk withOlderSegment(FaultInjectingDisk disk) throws IOException {
        FaultInjectingDisk other = new FaultInjectingDisk(1);
        AcceptorStoreScenario older = new AcceptorStoreScenario();
        older.open(other);
        older.saveNextStates(1);
        DiskFile source = other.open("segment-1");
        ByteBuffer content = ByteBuffer.allocate((int) source.sizeBytes());
        source.read(0, content);
        DiskFile copy = disk.create("segment-1");
        copy.write(0, content.flip());
        copy.force();
        return disk;
    }

    private static void assertOldStateIsGone(FaultInjectingDisk disk) throws IOException {
        DamagedLogQuarantine quarantine = new DamagedLogQuarantine(disk);
        quarantine.finish();
        AcceptorStore store;
        try {
            store = open(disk);
        } catch (DamagedLogException e) {
            quarantine.begin();
            store = open(disk);
        }
        assertThat(store.identity()).isEqualTo("new");
        List<String> files = new ArrayList<>(disk.listFiles());
        assertThat(files).doesNotContain("quarantine");
    }
}
