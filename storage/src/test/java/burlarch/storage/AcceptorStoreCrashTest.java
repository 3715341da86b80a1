package burlarch.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the store on a disk that fails at each operation in turn: invariant <i>durable before acknowledged</i>. */
class AcceptorStoreCrashTest {
    private static final int SEEDS = 25;
    private static final int SAVES = 14;
    private static final int MAX_OPERATIONS = 200;

    @Test
    void acknowledgedStateSurvivesPowerLossAtAnyOperation() throws IOException {
        for (int seed = 0; seed < SEEDS; seed++) {
            int operation = 1;
            while (!endsBeforePowerLoss(seed, operation)) {
                assertThat(++operation).isLessThan(MAX_OPERATIONS);
            }
            assertThat(operation).as("the scenario has some operations").isGreaterThan(SAVES);
        }
    }

    /** Returns whether the scenario ended before the operation at which the power fails. */
    private static boolean endsBeforePowerLoss(int seed, int operation) throws IOException {
        FaultInjectingDisk disk = new FaultInjectingDisk(seed * 1000L + operation);
        AcceptorStoreScenario scenario = new AcceptorStoreScenario();
        disk.losePowerAtOperation = operation;
        try {
            scenario.open(disk);
            scenario.saveNextStates(SAVES);
            return true;
        } catch (FaultInjectingDisk.PowerLoss e) {
            disk = losePowerAgainWhileOpening(scenario, disk.afterPowerLoss(), operation);
        }
        scenario.open(disk);
        scenario.saveNextStates(SAVES);
        scenario.open(disk.afterPowerLoss());
        return false;
    }

    /** Loses power a second time, soon after the first; returns the disk to open afterwards. */
    private static FaultInjectingDisk losePowerAgainWhileOpening(
            AcceptorStoreScenario scenario, FaultInjectingDisk disk, int operation) throws IOException {
        disk.losePowerAtOperation = 1 + operation % 9;
        try {
            scenario.open(disk);
            scenario.saveNextStates(operation % 3);
        } catch (FaultInjectingDisk.PowerLoss e) {
            return disk.afterPowerLoss();
        }
        disk.losePowerAtOperation = 0;
        return disk;
    }

    @Test
    void recordsReadAfterAProcessCrashAreSyncedBeforeUse() throws IOException {
        for (int seed = 0; seed < SEEDS; seed++) {
            for (int operation = 1; operation < 40; operation++) {
                FaultInjectingDisk disk = new FaultInjectingDisk(seed * 1000L + operation);
                disk.losePowerAtOperation = operation;
                AcceptorStoreScenario scenario = new AcceptorStoreScenario();
                try {
                    scenario.open(disk);
                    scenario.saveNextStates(SAVES);
                } catch (FaultInjectingDisk.PowerLoss e) {
                    disk.losePowerAtOperation = 0;
                }
                scenario.open(disk);
                scenario.saveNextStates(operation % 2);
                scenario.open(disk.afterPowerLoss());
            }
        }
    }

    @Test
    void acknowledgedStateSurvivesRefusedOperations() throws IOException {
        for (int seed = 0; seed < SEEDS; seed++) {
            for (int operation = 8; operation < 40; operation++) {
                FaultInjectingDisk disk = new FaultInjectingDisk(seed * 1000L + operation);
                AcceptorStoreScenario scenario = new AcceptorStoreScenario();
                scenario.open(disk);
                disk.refuseFromOperation = operation;
                disk.refuseUntilOperation = operation + 1 + seed % 7;
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
    void refusedWritesDoNotFillTheDisk() throws IOException {
        long maxTotalBytes = 3 * (AcceptorStoreScenario.SEGMENT_BYTES + 400);
        FaultInjectingDisk disk = new FaultInjectingDisk(1);
        AcceptorStoreScenario scenario = new AcceptorStoreScenario();
        scenario.open(disk);
        for (int cycle = 0; cycle < 50; cycle++) {
            scenario.saveNextStates(cycle % 11);
            disk.startRefusing();
            assertThat(scenario.saveNextStates(5)).isEqualTo(5);
            assertThat(disk.totalBytes()).isLessThan(maxTotalBytes);
            disk.stopRefusing();
        }
        assertThat(scenario.saveNextStates(1)).isZero();
        assertThat(disk.listFiles()).hasSizeLessThanOrEqualTo(3);
    }

    @Test
    void openingSucceedsOnceTheDiskWorksAgain() throws IOException {
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

    /**
     * An identity that became durable without the first named values would leave the acceptor without any known
     * member.
     */
    @Test
    void powerLossAtTheFirstStartLeavesBothIdentityAndNamedValuesOrNeither() throws IOException {
        Map<String, byte[]> firstNamedValues = Map.of("members", new byte[] {1, 2, 3});
        for (int operation = 1; operation <= 8; operation++) {
            for (long seed = 1; seed <= 20; seed++) {
                FaultInjectingDisk disk = new FaultInjectingDisk(seed);
                disk.losePowerAtOperation = operation;
                try {
                    AcceptorStore.open(disk, () -> "first", firstNamedValues, AcceptorStoreScenario.SEGMENT_BYTES);
                } catch (FaultInjectingDisk.PowerLoss e) {
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
