package burlarch.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which requests {@link LoadShedder} admits while the event loop lags, and when it counts as overloaded. */
class LoadShedderTest {
    private static final long MS = 1_000_000L;
    private static final long BEAT_PERIOD_NANOS = 5 * MS;
    private static final double READ_WORTH = 3;
    private static final double PAYMENT_WORTH = 5;

    private long nowNanos = 1_000 * MS;
    private final LoadShedder load =
            new LoadShedder(nowNanos, BEAT_PERIOD_NANOS, new double[] {READ_WORTH, PAYMENT_WORTH, READ_WORTH});

    /** Runs beats that are all late by {@code lagNanos}, for a time of {@code spanNanos}. */
    private void runBeats(long lagNanos, long spanNanos) {
        for (long endNanos = nowNanos + spanNanos; nowNanos < endNanos; ) {
            nowNanos += BEAT_PERIOD_NANOS + lagNanos;
            load.beat(nowNanos);
        }
    }

    private int countAdmitted(double worth, int requests) {
        int admittedCount = 0;
        for (int i = 0; i < requests; i++) {
            admittedCount += load.admits(worth, 0, 500 * MS) ? 1 : 0;
        }
        return admittedCount;
    }

    @Test
    void noRequestIsRefusedWithoutLag() {
        for (int i = 0; i < 100; i++) {
            runBeats(2 * MS, 50 * MS);
            assertEquals(50, countAdmitted(READ_WORTH, 50));
        }
        assertEquals(0, load.refused());
    }

    @Test
    void pausedLoopIsNotOverloaded() {
        for (int i = 0; i < 50; i++) {
            nowNanos += 300 * MS;
            load.beat(nowNanos);
            runBeats(0, 150 * MS);
            assertEquals(10, countAdmitted(READ_WORTH, 10));
        }
        // A CPU quota stops the process in each 100 ms.
        for (int i = 0; i < 50; i++) {
            nowNanos += 70 * MS;
            load.beat(nowNanos);
            runBeats(0, 30 * MS);
            assertEquals(10, countAdmitted(READ_WORTH, 10));
        }
    }

    @Test
    void standingLagRefusesRequestsUntilItEnds() {
        runBeats(50 * MS, 1_000 * MS);
        assertTrue(load.admittedFraction() < 0.2, "admitted fraction " + load.admittedFraction());
        assertTrue(countAdmitted(READ_WORTH, 1_000) < 300);
        double previousFraction = load.admittedFraction();
        for (int i = 0; i < 30; i++) {
            runBeats(0, 100 * MS);
            assertTrue(load.admittedFraction() >= previousFraction);
            previousFraction = load.admittedFraction();
        }
        assertEquals(1, load.admittedFraction());
        assertEquals(1_000, countAdmitted(READ_WORTH, 1_000));
    }

    @Test
    void paymentsAreAdmittedBeforeReads() {
        for (int i = 0; i < 40; i++) {
            for (int j = 0; j < 10; j++) {
                load.admits(PAYMENT_WORTH, 0, 500 * MS);
                load.admits(READ_WORTH, 0, 500 * MS);
            }
            runBeats(14 * MS, 100 * MS);
            if (load.admittedFraction() < 0.6) {
                break;
            }
        }
        double admittedFraction = load.admittedFraction();
        assertTrue(admittedFraction > 0.3 && admittedFraction < 0.65, "admitted fraction " + admittedFraction);
        int admittedPayments = countAdmitted(PAYMENT_WORTH, 100);
        int admittedReads = countAdmitted(READ_WORTH, 100);
        assertTrue(
                admittedPayments > 2 * admittedReads,
                admittedPayments + " payments and " + admittedReads + " reads admitted, fraction " + admittedFraction);
    }

    @Test
    void requestThatCannotBeAnsweredInTimeIsRefusedWhateverItsWorth() {
        runBeats(15 * MS, 300 * MS);
        assertTrue(load.admittedFraction() < 1);
        for (int i = 0; i < 100; i++) {
            assertEquals(false, load.admits(PAYMENT_WORTH, 60 * MS, 100 * MS));
        }
        assertTrue(load.admits(PAYMENT_WORTH, 15 * MS, 500 * MS), "refused requests must not use up the credit");
    }

    @Test
    void refusedClientsGetDifferentRetryTimes() {
        runBeats(50 * MS, 300 * MS);
        long minNanos = Long.MAX_VALUE;
        long maxNanos = 0;
        for (int i = 0; i < 100; i++) {
            long retryAfterNanos = load.retryAfterNanos();
            minNanos = Math.min(minNanos, retryAfterNanos);
            maxNanos = Math.max(maxNanos, retryAfterNanos);
        }
        assertTrue(minNanos >= 100 * MS && maxNanos > 2 * minNanos, minNanos + " to " + maxNanos);
    }

    /** Simulates a loop in which each request takes a fixed time, offered 1.2 to 2.2 times its capacity. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void overloadedLoopKeepsServingRequests(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double requestMs = 0.5 + random.nextDouble();
        double refusalMs = requestMs * (0.1 + 0.3 * random.nextDouble());
        double arrivalsPerMs = (1.2 + random.nextDouble()) / requestMs;
        double waitingRequests = 0;
        long servedCount = 0;
        long servedBefore = 0;
        double elapsedMs = 0;
        for (int turn = 0; turn < 4_000; turn++) {
            int batch = (int) Math.min(waitingRequests, 2_000);
            waitingRequests -= batch;
            double workMs = 0;
            for (int i = 0; i < batch; i++) {
                boolean admitted = load.admits(random.nextInt(10) == 0 ? PAYMENT_WORTH : READ_WORTH, 0, 500 * MS);
                workMs += admitted ? requestMs : refusalMs;
                servedCount += admitted ? 1 : 0;
            }
            double turnLengthMs = Math.max(workMs, 5);
            nowNanos += (long) (turnLengthMs * MS);
            load.beat(nowNanos);
            waitingRequests = Math.min(5_000, waitingRequests + arrivalsPerMs * turnLengthMs);
            elapsedMs += turnLengthMs;
            if (turn == 2_000) {
                servedBefore = servedCount;
                elapsedMs = 0;
            }
        }
        double servingFraction = (servedCount - servedBefore) * requestMs / elapsedMs;
        assertTrue(servingFraction > 0.3, "fraction of its time spent on served requests: " + servingFraction);
        assertTrue(load.admittedFraction() >= LoadShedder.MIN_ADMITTED_FRACTION && load.admittedFraction() <= 1);
    }
}
