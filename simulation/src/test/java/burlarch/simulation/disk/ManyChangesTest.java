package burlarch.simulation.disk;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.AcceptorState;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.simulation.Simulation;
import burlarch.storage.AcceptorStore;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies that the disk of an acceptor stays small over 10,000 changes and holds every acknowledged state, although
 * the process or machine crashes at any moment, above all during a change of segments, and the disk is sometimes full
 * or slow.
 */
class ManyChangesTest {
    private static final int CHANGE_COUNT = 10_000;
    private static final long SEGMENT_BYTES = 256 * 1024;
    private static final int PAYLOAD_BYTES = 20_000;
    private static final int RECORD_BYTES = PAYLOAD_BYTES + 200;
    /** A full segment with its last record, and the next segment with its snapshot before the old one is removed. */
    private static final long MAX_DISK_BYTES = SEGMENT_BYTES + 3 * RECORD_BYTES + 2 * RECORD_BYTES;

    private static final int MAX_FILES = 3;
    private static final int MIN_CRASHES_IN_SEGMENT_CHANGES = 100;

    private Random random;
    private SimulatedDisk disk;
    private AcceptorStore store;
    private AcceptorState acknowledgedState;
    private AcceptorState attemptedState;
    private long nowNanos;
    private long maxBytesSeen;
    private int rejectedWrites;
    private int crashesInSegmentChanges;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void diskStaysSmallAndHoldsEveryAcknowledgedState(long seed) throws IOException {
        random = new Random(seed);
        disk = new SimulatedDisk(new Random(seed), SimulatedDisk.SyncMode.HONEST);
        acknowledgedState = AcceptorState.EMPTY;
        attemptedState = AcceptorState.EMPTY;
        openStore();
        for (int round = 1; round <= CHANGE_COUNT; round++) {
            injectDiskFault(round);
            saveNextState(round);
            maxBytesSeen = Math.max(maxBytesSeen, diskBytes());
            assertThat(diskBytes()).isLessThan(MAX_DISK_BYTES);
            assertThat(disk.listFiles()).hasSizeLessThanOrEqualTo(MAX_FILES);
        }
        assertThat(rejectedWrites).isPositive();
        assertThat(crashesInSegmentChanges).isGreaterThan(MIN_CRASHES_IN_SEGMENT_CHANGES);
        assertThat(maxBytesSeen).as("segments were filled").isGreaterThan(SEGMENT_BYTES);
        assertThat(acknowledgedState.accepted().term())
                .as("it goes on to the end")
                .isEqualTo(CHANGE_COUNT);
    }

    private void injectDiskFault(int round) {
        if (round % 250 == 0 && round < CHANGE_COUNT) {
            disk.rejectWritesUntil(nowNanos + Simulation.SECOND / 2);
        }
        if (round % 333 == 0) {
            disk.stallUntil(nowNanos + 2 * Simulation.SECOND);
        }
    }

    private void saveNextState(int round) throws IOException {
        ProposalNumber number = new ProposalNumber(round, "p");
        byte[] payload = new byte[PAYLOAD_BYTES - random.nextInt(100)];
        random.nextBytes(payload);
        List<AcceptorMember> members = List.of(new AcceptorMember("s", "10.0.0.1:7000"));
        attemptedState = new AcceptorState(number, number, new RegisterValue(members, payload));
        List<String> filesBefore = disk.listFiles();
        long beginNanos = nowNanos;
        disk.beginCalls(beginNanos);
        boolean saved = save();
        nowNanos = disk.callsDoneNanos() + 1;
        boolean segmentsChanged = !disk.listFiles().equals(filesBefore);
        if (random.nextInt(segmentsChanged ? 2 : 50) == 0) {
            crashesInSegmentChanges += segmentsChanged ? 1 : 0;
            crashBetween(beginNanos, nowNanos, saved);
        } else if (saved) {
            acknowledgedState = attemptedState;
        }
    }

    private boolean save() {
        try {
            store.save(attemptedState);
            return true;
        } catch (IOException diskFull) {
            assertThat(store.state())
                    .as("a state that the disk refused is not voted on")
                    .isEqualTo(acknowledgedState);
            rejectedWrites++;
            return false;
        }
    }

    /** Kills the process or cuts the power at a random moment; a response may have been sent before. */
    private void crashBetween(long beginNanos, long endNanos, boolean saved) throws IOException {
        long crashNanos = beginNanos + (long) (random.nextDouble() * (endNanos - beginNanos) * 1.2);
        if (saved && crashNanos >= endNanos) {
            acknowledgedState = attemptedState;
        }
        if (random.nextBoolean()) {
            disk.onProcessKilled(crashNanos);
        } else {
            disk.onPowerLoss(crashNanos);
        }
        nowNanos = Math.max(crashNanos, endNanos);
        openStore();
    }

    private void openStore() throws IOException {
        disk.beginCalls(nowNanos);
        store = AcceptorStore.open(disk, () -> "disk", SEGMENT_BYTES);
        nowNanos = disk.callsDoneNanos() + 1;
        AcceptorState recovered = store.state();
        assertThat(recovered.accepted().term())
                .isIn(
                        acknowledgedState.accepted().term(),
                        attemptedState.accepted().term());
        AcceptorState expected =
                recovered.accepted().equals(acknowledgedState.accepted()) ? acknowledgedState : attemptedState;
        if (recovered.value() != null) {
            assertThat(recovered.value().payload()).isEqualTo(expected.value().payload());
        }
        acknowledgedState = recovered;
    }

    private long diskBytes() throws IOException {
        long totalBytes = 0;
        for (String name : disk.listFiles()) {
            totalBytes += disk.open(name).sizeBytes();
        }
        return totalBytes;
    }
}
