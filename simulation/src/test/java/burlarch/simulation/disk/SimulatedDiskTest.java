package burlarch.simulation.disk;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.simulation.Simulation;
import burlarch.storage.DiskFile;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests which writes a simulated disk keeps after a process kill or a power loss, and its full and stalled states. */
class SimulatedDiskTest {
    private static final byte[] SYNCED = {1, 2, 3, 4};
    private static final byte[] UNSYNCED = {5, 6, 7, 8};

    private static SimulatedDisk disk(long seed) throws IOException {
        SimulatedDisk disk = new SimulatedDisk(new Random(seed), SimulatedDisk.SyncMode.HONEST);
        disk.beginCalls(0);
        DiskFile file = disk.create("a");
        file.write(0, ByteBuffer.wrap(SYNCED));
        file.force();
        file.write(SYNCED.length, ByteBuffer.wrap(UNSYNCED));
        return disk;
    }

    private static byte[] content(SimulatedDisk disk) throws IOException {
        DiskFile file = disk.open("a");
        ByteBuffer bytes = ByteBuffer.allocate((int) file.sizeBytes());
        file.read(0, bytes);
        return bytes.array();
    }

    @Test
    void processKillKeepsAllWrites() throws IOException {
        SimulatedDisk disk = disk(1);
        disk.onProcessKilled(disk.callsDoneNanos());
        assertThat(content(disk)).containsExactly(1, 2, 3, 4, 5, 6, 7, 8);
    }

    @Test
    void writeAfterProcessKillHasNoEffect() throws IOException {
        SimulatedDisk disk = disk(1);
        disk.onProcessKilled(0);
        assertThat(content(disk)).isEmpty();
    }

    @Test
    void powerLossKeepsLosesOrTearsUnsyncedWrites() throws IOException {
        Set<String> outcomes = new TreeSet<>();
        for (int seed = 0; seed < 100; seed++) {
            SimulatedDisk disk = disk(seed);
            disk.onPowerLoss(disk.callsDoneNanos());
            byte[] content = content(disk);
            assertThat(content).startsWith(SYNCED);
            outcomes.add(
                    content.length == 4
                            ? "lost"
                            : content.length < 8
                                    ? "short"
                                    : content[4] == 5 && content[5] == 6 && content[6] == 7 && content[7] == 8
                                            ? "kept"
                                            : "torn");
        }
        assertThat(outcomes).containsExactly("kept", "lost", "short", "torn");
    }

    @Test
    void incompleteSyncGuaranteesNoDurability() throws IOException {
        Set<Integer> sizes = new TreeSet<>();
        for (int seed = 0; seed < 50; seed++) {
            SimulatedDisk disk = new SimulatedDisk(new Random(seed), SimulatedDisk.SyncMode.HONEST);
            disk.beginCalls(0);
            DiskFile file = disk.create("a");
            file.write(0, ByteBuffer.wrap(SYNCED));
            long syncStartNanos = disk.callsDoneNanos();
            file.force();
            disk.onPowerLoss(syncStartNanos + 1);
            sizes.add(disk.listFiles().isEmpty() ? -1 : content(disk).length);
        }
        assertThat(sizes).contains(-1, 0, SYNCED.length);
    }

    @Test
    void fullDiskRejectsWritesAndStalledDiskDelaysThem() throws IOException {
        SimulatedDisk disk = disk(1);
        disk.stallUntil(Simulation.SECOND);
        DiskFile file = disk.open("a");
        file.force();
        assertThat(disk.callsDoneNanos()).isGreaterThan(Simulation.SECOND);
        disk.rejectWritesUntil(2 * Simulation.SECOND);
        assertThatThrownBy(() -> file.write(0, ByteBuffer.wrap(UNSYNCED))).isInstanceOf(IOException.class);
        disk.beginCalls(2 * Simulation.SECOND);
        file.write(0, ByteBuffer.wrap(UNSYNCED));
        assertThat(content(disk)).startsWith(UNSYNCED);
    }

    @Test
    void wipedDiskIsEmpty() throws IOException {
        SimulatedDisk disk = disk(1);
        disk.wipe();
        assertThat(disk.listFiles()).isEmpty();
    }
}
