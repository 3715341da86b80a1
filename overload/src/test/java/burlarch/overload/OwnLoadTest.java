package burlarch.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What is admitted by a loop that is behind, and when it is not. */
class OwnLoadTest {
    private static final long MS = 1_000_000L;
    private static final long BEAT = 5 * MS;
    private static final double READ = 3;
    private static final double PAY = 5;

    private long nowNanos = 1_000 * MS;
    private final OwnLoad load = new OwnLoad(nowNanos, BEAT, new double[] {READ, PAY, READ});

    /** Beats that are all late by so much, for a span. */
    private void lags(long lagNanos, long spanNanos) {
        for (long until = nowNanos + spanNanos; nowNanos < until; ) {
            nowNanos += BEAT + lagNanos;
            load.beat(nowNanos);
        }
    }

    private int admitted(double worth, int of) {
        int admitted = 0;
        for (int i = 0; i < of; i++) {
            admitted += load.admits(worth, 0, 500 * MS) ? 1 : 0;
        }
        return admitted;
    }

    @Test
    void nothingIsRefusedWithoutLag() {
        for (int i = 0; i < 100; i++) {
            lags(2 * MS, 50 * MS);
            assertEquals(50, admitted(READ, 50));
        }
        assertEquals(0, load.refused());
    }

    @Test
    void aLoopThatIsStoppedForAWhileIsNotOverloaded() {
        for (int i = 0; i < 50; i++) {
            nowNanos += 300 * MS;
            load.beat(nowNanos);
            lags(0, 150 * MS);
            assertEquals(10, admitted(READ, 10));
        }
        // As under a cap, in each 100 ms.
        for (int i = 0; i < 50; i++) {
            nowNanos += 70 * MS;
            load.beat(nowNanos);
            lags(0, 30 * MS);
            assertEquals(10, admitted(READ, 10));
        }
    }

    @Test
    void lagThatStandsRefusesAndGoesOverWithIt() {
        lags(50 * MS, 1_000 * MS);
        assertTrue(load.admittedFraction() < 0.2, "part " + load.admittedFraction());
        assertTrue(admitted(READ, 1_000) < 300);
        double before = load.admittedFraction();
        for (int i = 0; i < 30; i++) {
            lags(0, 100 * MS);
            assertTrue(load.admittedFraction() >= before);
            before = load.admittedFraction();
        }
        assertEquals(1, load.admittedFraction());
        assertEquals(1_000, admitted(READ, 1_000));
    }

    @Test
    void repaymentsComeBeforeReads() {
        for (int i = 0; i < 40; i++) {
            for (int j = 0; j < 10; j++) {
                load.admits(PAY, 0, 500 * MS);
                load.admits(READ, 0, 500 * MS);
            }
            lags(14 * MS, 100 * MS);
            if (load.admittedFraction() < 0.6) {
                break;
            }
        }
        double part = load.admittedFraction();
        assertTrue(part > 0.3 && part < 0.65, "part " + part);
        int pays = admitted(PAY, 100);
        int reads = admitted(READ, 100);
        assertTrue(pays > 2 * reads, pays + " payments and " + reads + " reads at " + part);
    }

    @Test
    void whatCannotBeAnsweredInItsTimeIsRefusedWhateverItsWorth() {
        lags(15 * MS, 300 * MS);
        assertTrue(load.admittedFraction() < 1);
        for (int i = 0; i < 100; i++) {
            assertEquals(false, load.admits(PAY, 60 * MS, 100 * MS));
        }
        assertTrue(load.admits(PAY, 15 * MS, 500 * MS), "what was refused has left its credit");
    }

    @Test
    void refusedClientsAreToldToComeBackApart() {
        lags(50 * MS, 300 * MS);
        long least = Long.MAX_VALUE;
        long most = 0;
        for (int i = 0; i < 100; i++) {
            long after = load.retryAfterNanos();
            least = Math.min(least, after);
            most = Math.max(most, after);
        }
        assertTrue(least >= 100 * MS && most > 2 * least, least + " to " + most);
    }

    /** A loop whose every request costs so much time, offered twice what it can do. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void anOverloadSettlesAndDoesNotStarve(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double costMs = 0.5 + random.nextDouble();
        double refusalMs = costMs * (0.1 + 0.3 * random.nextDouble());
        double perMs = (1.2 + random.nextDouble()) / costMs;
        double waiting = 0;
        long served = 0;
        long lastServed = 0;
        double workedMs = 0;
        for (int turn = 0; turn < 4_000; turn++) {
            int batch = (int) Math.min(waiting, 2_000);
            waiting -= batch;
            double turnMs = 0;
            for (int i = 0; i < batch; i++) {
                boolean admitted = load.admits(random.nextInt(10) == 0 ? PAY : READ, 0, 500 * MS);
                turnMs += admitted ? costMs : refusalMs;
                served += admitted ? 1 : 0;
            }
            double spentMs = Math.max(turnMs, 5);
            nowNanos += (long) (spentMs * MS);
            load.beat(nowNanos);
            waiting = Math.min(5_000, waiting + perMs * spentMs);
            workedMs += spentMs;
            if (turn == 2_000) {
                lastServed = served;
                workedMs = 0;
            }
        }
        double useful = (served - lastServed) * costMs / workedMs;
        assertTrue(useful > 0.3, "of its time it serves only " + useful);
        assertTrue(load.admittedFraction() >= OwnLoad.MIN_ADMITTED_FRACTION && load.admittedFraction() <= 1);
    }
}
