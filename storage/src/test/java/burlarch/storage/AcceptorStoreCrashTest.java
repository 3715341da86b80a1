package burlarch.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The store on a disk that fails at each of its operations in turn: invariant <i>durable before acknowledged</i>. */
class AcceptorStoreCrashTest {
    private static final int SEEDS = 25;
    private static final int SAVES = 14;
    private static final int MOST_OPERATIONS = 200;

    @Test
    void keepsAcknowledgedStateOverPowerLossAtAnyOperation() throws IOException {
        for (int seed = 0; seed < SEEDS; seed++) {
            int at = 1;
            while (!endsBeforePowerLossAt(seed, at)) {
                assertThat(++at).isLessThan(MOST_OPERATIONS);
            }
            assertThat(at).as("the scenario has some operations").isGreaterThan(SAVES);
        }
    }

    /** Returns whether the scenario ended before the operation at which the power was to fail. */
    private static boolean endsBeforePowerLossAt(int seed, int at) throws IOException {
        FaultInjectingDisk disk = new FaultInjectingDisk(seed * 1000L + at);
        AcceptorStoreScenario scenario = new AcceptorStoreScenario();
        disk.losePowerAtOperation = at;
        try {
            scenario.open(disk);
            scenario.saveNextStates(SAVES);
            return true;
        } catch (FaultInjectingDisk.PowerLoss e) {
            disk = losePowerAgainWhileOpening(scenario, disk.afterPowerLoss(), at);
        }
        scenario.open(disk);
        scenario.saveNextStates(SAVES);
        scenario.open(disk.afterPowerLoss());
        return false;
    }

    /** Loses power a second time, soon after the first. */
    private static FaultInjectingDisk losePowerAgainWhileOpening(
            AcceptorStoreScenario scenario, FaultInjectingDisk disk, int at) throws IOException {
        disk.losePowerAtOperation = 1 + at % 9;
        try {
            scenario.open(disk);
            scenario.saveNextStates(at % 3);
        } catch (FaultInjectingDisk.PowerLoss e) {
            return disk.afterPowerLoss();
        }
        disk.losePowerAtOperation = 0;
        return disk;
    }

    @Test
    void syncsAfterAProcessCrashWhatItReadsBeforeItTrustsIt() throws IOException {
        for (int seed = 0; seed < SEEDS; seed++) {
            for (int at = 1; at < 40; at++) {
                FaultInjectingDisk disk = new FaultInjectingDisk(seed * 1000L + at);
                disk.losePowerAtOperation = at;
                AcceptorStoreScenario scenario = new AcceptorStoreScenario();
                try {
                    scenario.open(disk);
                    scenario.saveNextStates(SAVES);
                } catch (FaultInjectingDisk.PowerLoss e) {
                    disk.losePowerAtOperation = 0;
                }
                scenario.open(disk);
                scenario.saveNextStates(at % 2);
                scenario.open(disk.afterPowerLoss());
            }
        }
    }

    @Test
    void keepsAcknowledgedStateOverRefusedOperations() throws IOException {
        for (int seed = 0; seed < SEEDS; seed++) {
            for (int at = 8; at < 40; at++) {
                FaultInjectingDisk disk = new FaultInjectingDisk(seed * 1000L + at);
                AcceptorStoreScenario scenario = new AcceptorStoreScenario();
                scenario.open(disk);
                disk.refuseFromOperation = at;
                disk.refuseUntilOperation = at + 1 + seed % 7;
                while (disk.operations < disk.refuseUntilOperation) {
                    scenario.saveNextStates(1);
                }
                disk.stopRefusing();
                assertThat(scenario.saveNextStates(seed % 5)).isZero();
                scenario.open(disk.afterPowerLoss());
            }
        }
    }

    @Test
    void aDiskThatRefusesWritesDoesNotFillUp() throws IOException {
        long bound = 3 * (AcceptorStoreScenario.SEGMENT_BYTES + 400);
        FaultInjectingDisk disk = new FaultInjectingDisk(1);
        AcceptorStoreScenario scenario = new AcceptorStoreScenario();
        scenario.open(disk);
        for (int turn = 0; turn < 50; turn++) {
            scenario.saveNextStates(turn % 11);
            disk.startRefusing();
            assertThat(scenario.saveNextStates(5)).isEqualTo(5);
            assertThat(disk.totalBytes()).isLessThan(bound);
            disk.stopRefusing();
        }
        assertThat(scenario.saveNextStates(1)).isZero();
        assertThat(disk.listFiles()).hasSizeLessThanOrEqualTo(3);
    }

    @Test
    void opensAgainOnceTheDiskWorks() throws IOException {
        FaultInjectingDisk disk = new FaultInjectingDisk(1);
        AcceptorStoreScenario scenario = new AcceptorStoreScenario();
        disk.startRefusing();
        assertThat(isOpeningRefused(scenario, disk)).isTrue();
        disk.stopRefusing();
        scenario.open(disk);
        scenario.saveNextStates(3);
        disk.startRefusing();
        assertThat(isOpeningRefused(scenario, disk)).isTrue();
        disk.stopRefusing();
        scenario.open(disk);
        assertThat(scenario.store.state().prepared().term()).isEqualTo(3);
    }

    private static boolean isOpeningRefused(AcceptorStoreScenario scenario, FaultInjectingDisk disk) {
        try {
            scenario.open(disk);
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** An identity of the first start without the named values beside it would know no other acceptor. */
    @Test
    void aLossOfPowerAtTheFirstStartLeavesIdentityAndNamedValuesOrNeither() throws IOException {
        Map<String, byte[]> first = Map.of("members", new byte[] {1, 2, 3});
        for (int at = 1; at <= 8; at++) {
            for (long seed = 1; seed <= 20; seed++) {
                FaultInjectingDisk disk = new FaultInjectingDisk(seed);
                disk.losePowerAtOperation = at;
                try {
                    AcceptorStore.open(disk, () -> "first", first, AcceptorStoreScenario.SEGMENT_BYTES);
                } catch (FaultInjectingDisk.PowerLoss lost) {
                    disk = disk.afterPowerLoss();
                }
                disk.losePowerAtOperation = 0;
                AcceptorStore store = AcceptorStore.open(disk, () -> "later", AcceptorStoreScenario.SEGMENT_BYTES);
                assertThat(store.namedValue("members").isPresent())
                        .isEqualTo(store.identity().equals("first"));
            }
        }
    }
}
