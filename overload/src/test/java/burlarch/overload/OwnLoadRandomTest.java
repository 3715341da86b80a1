package burlarch.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What holds whatever the lag and the requests do, under random phases from fixed seeds. */
class OwnLoadRandomTest {
    private static final long MS = 1_000_000L;
    private static final long BEAT = 5 * MS;
    private static final double[] WORTHS = {5, 3, 2};
    private static final int PHASES = 300;

    private final int[] asked = new int[WORTHS.length];
    private final int[] admitted = new int[WORTHS.length];
    private long nowNanos = 1_000 * MS;
    private final OwnLoad load = new OwnLoad(nowNanos, BEAT, WORTHS);

    /** One interval of beats that are late by so much, with requests between them. */
    private void interval(SplittableRandom random, long lagNanos, int requestsPerBeat) {
        for (long until = nowNanos + OwnLoad.INTERVAL_NANOS; nowNanos < until; ) {
            nowNanos += BEAT + lagNanos;
            load.beat(nowNanos);
            for (int i = 0; i < requestsPerBeat; i++) {
                int kind = random.nextInt(10) < 8 ? 1 : random.nextBoolean() ? 0 : 2;
                asked[kind]++;
                admitted[kind] += load.admits(WORTHS[kind], 0, 500 * MS) ? 1 : 0;
            }
        }
    }

    private double part(int kind) {
        return asked[kind] == 0 ? 1 : (double) admitted[kind] / asked[kind];
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void boundsOrderAndRecoveryHoldUnderRandomPhases(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int phase = 0; phase < PHASES; phase++) {
            long lagNanos = random.nextInt(3) == 0 ? 0 : random.nextLong(120) * MS;
            int requests = random.nextInt(40);
            int intervals = 1 + random.nextInt(12);
            for (int i = 0; i < intervals; i++) {
                double before = load.admittedFraction();
                interval(random, lagNanos, requests);
                if (lagNanos < OwnLoad.TARGET_NANOS && load.standingLagNanos() < OwnLoad.TARGET_NANOS) {
                    assertTrue(load.admittedFraction() >= before, "less admitted though no lag stands");
                }
                assertTrue(
                        load.admittedFraction() >= OwnLoad.MIN_ADMITTED_FRACTION && load.admittedFraction() <= 1,
                        "part " + load.admittedFraction());
                long retryNanos = load.retryAfterNanos();
                assertTrue(retryNanos > 0 && retryNanos < 2_000 * MS, "come back in " + retryNanos);
            }
            assertTrue(
                    part(0) >= part(1) - 0.02 && part(1) >= part(2) - 0.02,
                    "by worth " + part(0) + " " + part(1) + " " + part(2));
        }
        // From the least part to all is as many steps as the growth needs, and the interval that had the lag.
        for (int i = 0; i < 2 + (int) Math.ceil((1 - OwnLoad.MIN_ADMITTED_FRACTION) / OwnLoad.GROWTH_STEP); i++) {
            interval(random, 0, 10);
        }
        long refused = load.refused();
        for (int i = 0; i < 20; i++) {
            interval(random, 0, 40);
        }
        assertEquals(refused, load.refused(), "refused without a lag");
        assertEquals(1, load.admittedFraction());
    }
}
