package burlarch.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests recovery, snapshots and replacement of segments. */
class SegmentedLogTest {
    private static final long SEGMENT_BYTES = 200;

    private final FaultInjectingDisk disk = new FaultInjectingDisk(5);

    @Test
    void snapshotAndSyncedRecordsAreRecovered() throws IOException {
        SegmentedLog log = SegmentedLog.open(disk, SEGMENT_BYTES);
        assertThat(log.isEmpty()).isTrue();
        assertThatThrownBy(() -> log.append(List.of(bytes(1)))).isInstanceOf(IllegalStateException.class);
        log.replaceWithSnapshot(bytes(1));
        log.append(List.of(bytes(2), bytes(3)));
        log.sync();

        assertThat(SegmentedLog.open(disk, SEGMENT_BYTES).takeRecoveredRecords())
                .containsExactly(bytes(1), bytes(2), bytes(3));
    }

    @Test
    void recordsBeforeTheFirstUnreadableOneAreRecovered() throws IOException {
        createLog(1, 2, 3, 4);
        DiskFile file = disk.open("segment-1");
        int recordBytes = SegmentRecord.HEADER_BYTES + 1;
        file.write(2L * recordBytes + SegmentRecord.HEADER_BYTES, ByteBuffer.wrap(new byte[] {99}));

        SegmentedLog log = SegmentedLog.open(disk, SEGMENT_BYTES);
        assertThat(log.takeRecoveredRecords()).containsExactly(bytes(1), bytes(2));
        log.append(List.of(bytes(5)));
        log.sync();
        assertThat(SegmentedLog.open(disk, SEGMENT_BYTES).takeRecoveredRecords())
                .as("records behind the unreadable one are not recovered later")
                .containsExactly(bytes(1), bytes(2), bytes(5));
    }

    @Test
    void olderSegmentIsRecoveredIfTheNewerHasNoSnapshot() throws IOException {
        createLog(1, 2);
        DiskFile segmentWithoutSnapshot = disk.create("segment-2");
        segmentWithoutSnapshot.write(0, ByteBuffer.wrap(new byte[50]));

        SegmentedLog log = SegmentedLog.open(disk, SEGMENT_BYTES);
        assertThat(log.takeRecoveredRecords()).containsExactly(bytes(1), bytes(2));
        assertThat(disk.listFiles()).containsExactly("segment-1");
        log.replaceWithSnapshot(bytes(7));
        assertThat(disk.listFiles()).containsExactly("segment-3");
    }

    @Test
    void segmentOfAFailedSnapshotIsIgnoredAfterLaterRecords() throws IOException {
        SegmentedLog log = createLog(1);
        disk.refuseFromOperation = disk.operations + 3;
        disk.refuseUntilOperation = Integer.MAX_VALUE;
        assertThatThrownBy(() -> log.replaceWithSnapshot(bytes(2))).isInstanceOf(IOException.class);
        disk.stopRefusing();
        assertThat(disk.listFiles()).contains("segment-2");
        log.append(List.of(bytes(3)));
        log.sync();
        assertThat(SegmentedLog.open(disk, SEGMENT_BYTES).takeRecoveredRecords())
                .containsExactly(bytes(1), bytes(3));
    }

    @Test
    void replacedSegmentIsIgnoredInFavourOfItsSuccessor() throws IOException {
        for (int seed = 0; seed < 50; seed++) {
            FaultInjectingDisk failingDisk = new FaultInjectingDisk(seed);
            SegmentedLog log = SegmentedLog.open(failingDisk, SEGMENT_BYTES);
            log.replaceWithSnapshot(bytes(1));
            log.append(List.of(bytes(2), bytes(3)));
            failingDisk.refuseFromOperation = failingDisk.operations + 1;
            failingDisk.refuseUntilOperation = failingDisk.refuseFromOperation + 1;
            assertThatThrownBy(log::sync).isInstanceOf(IOException.class);
            failingDisk.losePowerAtOperation = failingDisk.operations + 5;
            assertThatThrownBy(() -> log.replaceWithSnapshot(bytes(4)))
                    .isInstanceOf(FaultInjectingDisk.PowerLoss.class);
            FaultInjectingDisk survivingDisk = failingDisk.afterPowerLoss();
            assertThat(SegmentedLog.open(survivingDisk, SEGMENT_BYTES).takeRecoveredRecords())
                    .containsExactly(bytes(4));
        }
    }

    @Test
    void filesThatAreNotSegmentsAreKept() throws IOException {
        disk.create("segment-list");
        disk.create("other");
        createLog(1).replaceWithSnapshot(bytes(2));
        SegmentedLog.open(disk, SEGMENT_BYTES);
        assertThat(disk.listFiles()).containsExactly("other", "segment-2", "segment-list");
    }

    @Test
    void snapshotIsDueAfterSegmentBytesSinceTheLastOne() throws IOException {
        SegmentedLog log = SegmentedLog.open(disk, SEGMENT_BYTES);
        log.replaceWithSnapshot(new byte[1000]);
        assertThat(log.isSnapshotDue()).isFalse();
        log.append(List.of(new byte[(int) SEGMENT_BYTES]));
        log.sync();
        assertThat(log.isSnapshotDue()).isTrue();
        assertThat(SegmentedLog.open(disk, SEGMENT_BYTES).isSnapshotDue()).isTrue();
    }

    @Test
    void oversizedRecordsAreRejected() throws IOException {
        SegmentedLog log = createLog(1);
        byte[] large = new byte[SegmentedLog.MAX_RECORD_BYTES + 1];
        assertThatThrownBy(() -> log.append(List.of(large))).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> log.replaceWithSnapshot(large)).isInstanceOf(IOException.class);
    }

    private SegmentedLog createLog(int snapshot, int... records) throws IOException {
        SegmentedLog log = SegmentedLog.open(disk, SEGMENT_BYTES);
        log.replaceWithSnapshot(bytes(snapshot));
        for (int content : records) {
            log.append(List.of(bytes(content)));
        }
        log.sync();
        return log;
    }

    private static byte[] bytes(int content) {
        return new byte[] {(byte) content};
    }
}
