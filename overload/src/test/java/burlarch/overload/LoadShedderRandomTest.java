package burlarch.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Invariants of {@link LoadShedder} under random lag and requests from fixed seeds. */
class LoadShedderRandomTest {
    private static final long MS = 1_000_000L;
    private static final long BEAT_PERIOD_NANOS = 5 * MS;
    private static final double[] WORTHS = {5, 3, 2};
    private static final int PHASES = 300;

    private final int[] requestCounts = new int[WORTHS.length];
    private final int[] admittedCounts = new int[WORTHS.length];
    private long nowNanos = 1_000 * MS;
    private final LoadShedder load = new LoadShedder(nowNanos, BEAT_PERIOD_NANOS, WORTHS);

    /** Runs one interval of beats that are late by {@code lagNanos}, with requests between them. */
    private void runInterval(SplittableRandom random, long lagNanos, int requestsPerBeat) {
        for (long intervalEndNanos = nowNanos + LoadShedder.INTERVAL_NANOS; nowNanos < intervalEndNanos; ) {
            nowNanos += BEAT_PERIOD_NANOS + lagNanos;
            load.beat(nowNanos);
            for (int i = 0; i < requestsPerBeat; i++) {
                int requestClass = random.nextInt(10) < 8 ? 1 : random.nextBoolean() ? 0 : 2;
                requestCounts[requestClass]++;
                admittedCounts[requestClass] += load.admits(WORTHS[requestClass], 0, 500 * MS) ? 1 : 0;
            }
        }
    }

    private double admittedFractionOf(int requestClass) {
        return requestCounts[requestClass] == 0
                ? 1
                : (double) admittedCounts[requestClass] / requestCounts[requestClass];
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void boundsOrderAndRecoveryHoldUnderRandomPhases(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int phase = 0; phase < PHASES; phase++) {
            long lagNanos = random.nextInt(3) == 0 ? 0 : random.nextLong(120) * MS;
            int requestsPerBeat = random.nextInt(40);
            int intervals = 1 + random.nextInt(12);
            for (int i = 0; i < intervals; i++) {
                double previousFraction = load.admittedFraction();
                runInterval(random, lagNanos, requestsPerBeat);
                if (lagNanos < LoadShedder.TARGET_NANOS && load.standingLagNanos() < LoadShedder.TARGET_NANOS) {
                    assertTrue(
                            load.admittedFraction() >= previousFraction,
                            "admitted fraction shrank without a standing lag");
                }
                assertTrue(
                        load.admittedFraction() >= LoadShedder.MIN_ADMITTED_FRACTION && load.admittedFraction() <= 1,
                        "admitted fraction " + load.admittedFraction());
                long retryAfterNanos = load.retryAfterNanos();
                assertTrue(
                        retryAfterNanos > 0 && retryAfterNanos < 2_000 * MS,
                        "retry after nanoseconds " + retryAfterNanos);
            }
            assertTrue(
                    admittedFractionOf(0) >= admittedFractionOf(1) - 0.02
                            && admittedFractionOf(1) >= admittedFractionOf(2) - 0.02,
                    "admitted fractions by worth, highest first: " + admittedFractionOf(0) + " " + admittedFractionOf(1)
                            + " " + admittedFractionOf(2));
        }
        // Growth from the lowest fraction to 1 takes this many intervals, plus the interval that had the lag.
        for (int i = 0;
                i < 2 + (int) Math.ceil((1 - LoadShedder.MIN_ADMITTED_FRACTION) / LoadShedder.GROWTH_STEP);
                i++) {
            runInterval(random, 0, 10);
        }
        long refusedBefore = load.refused();
        for (int i = 0; i < 20; i++) {
            runInterval(random, 0, 40);
        }
        assertEquals(refusedBefore, load.refused(), "requests were refused without lag");
        assertEquals(1, load.admittedFraction());
    }
}
