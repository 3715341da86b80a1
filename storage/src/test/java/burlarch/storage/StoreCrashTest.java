package burlarch.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** The store on a disk that fails at each of its operations in turn. */
class StoreCrashTest {
    private static final int SEEDS = 25;
    private static final int SAVES = 14;
    private static final int MOST_OPERATIONS = 200;

    @Test
    void keepsWhatItAcknowledgedWhenThePowerGoesAtAnyOperation() throws IOException {
        for (int seed = 0; seed < SEEDS; seed++) {
            int at = 1;
            while (!survives(seed, at)) {
                assertThat(++at).isLessThan(MOST_OPERATIONS);
            }
            assertThat(at).as("the script has some operations").isGreaterThan(SAVES);
        }
    }

    /** Whether the script came to its end before the operation. */
    private static boolean survives(int seed, int at) throws IOException {
        CrashDisk disk = new CrashDisk(seed * 1000L + at);
        StoreScript script = new StoreScript();
        disk.losesPowerAt = at;
        try {
            script.open(disk);
            script.save(SAVES);
            return true;
        } catch (CrashDisk.PowerLoss e) {
            disk = losePowerWhileOpening(script, disk.afterPowerLoss(), at);
        }
        script.open(disk);
        script.save(SAVES);
        script.open(disk.afterPowerLoss());
        return false;
    }

    /** Loses power a second time, early after the first. */
    private static CrashDisk losePowerWhileOpening(StoreScript script, CrashDisk disk, int at) throws IOException {
        disk.losesPowerAt = 1 + at % 9;
        try {
            script.open(disk);
            script.save(at % 3);
        } catch (CrashDisk.PowerLoss e) {
            return disk.afterPowerLoss();
        }
        disk.losesPowerAt = 0;
        return disk;
    }

    @Test
    void trustsAfterAKillOnlyWhatALaterLossOfPowerLeaves() throws IOException {
        for (int seed = 0; seed < SEEDS; seed++) {
            for (int at = 1; at < 40; at++) {
                CrashDisk disk = new CrashDisk(seed * 1000L + at);
                disk.losesPowerAt = at;
                StoreScript script = new StoreScript();
                try {
                    script.open(disk);
                    script.save(SAVES);
                } catch (CrashDisk.PowerLoss e) {
                    disk.losesPowerAt = 0;
                }
                script.open(disk);
                script.save(at % 2);
                script.open(disk.afterPowerLoss());
            }
        }
    }

    @Test
    void worksOnAfterRefusalsOfAnyLengthAndKeepsWhatItAcknowledged() throws IOException {
        for (int seed = 0; seed < SEEDS; seed++) {
            for (int at = 8; at < 40; at++) {
                CrashDisk disk = new CrashDisk(seed * 1000L + at);
                StoreScript script = new StoreScript();
                script.open(disk);
                disk.refusesFrom = at;
                disk.refusesUntil = at + 1 + seed % 7;
                while (disk.operations < disk.refusesUntil) {
                    script.save(1);
                }
                disk.heal();
                assertThat(script.save(seed % 5)).isZero();
                script.open(disk.afterPowerLoss());
            }
        }
    }

    @Test
    void aDiskThatRefusesAllFillsUpNeitherThenNorLater() throws IOException {
        long bound = 3 * (StoreScript.SEGMENT_BYTES + 400);
        CrashDisk disk = new CrashDisk(1);
        StoreScript script = new StoreScript();
        script.open(disk);
        for (int turn = 0; turn < 50; turn++) {
            script.save(turn % 11);
            disk.refuseFromNowOn();
            assertThat(script.save(5)).isEqualTo(5);
            assertThat(disk.totalBytes()).isLessThan(bound);
            disk.heal();
        }
        assertThat(script.save(1)).isZero();
        assertThat(disk.list()).hasSizeLessThanOrEqualTo(3);
    }

    @Test
    void opensOnceTheDiskDoes() throws IOException {
        CrashDisk disk = new CrashDisk(1);
        StoreScript script = new StoreScript();
        disk.refuseFromNowOn();
        assertThat(catchRefusal(script, disk)).isTrue();
        disk.heal();
        script.open(disk);
        script.save(3);
        disk.refuseFromNowOn();
        assertThat(catchRefusal(script, disk)).isTrue();
        disk.heal();
        script.open(disk);
        assertThat(script.store.state().promised().round()).isEqualTo(3);
    }

    private static boolean catchRefusal(StoreScript script, CrashDisk disk) {
        try {
            script.open(disk);
            return false;
        } catch (IOException e) {
            return true;
        }
    }
}
