package burlarch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The rate estimates of {@link CallGapping} and which offers it admits. */
class CallGappingTest {
    private static final double TOLERANCE = 1e-9;
    private static final int UNLISTED_TENANT = -1;

    private static long nanos(double seconds) {
        return Math.round(seconds * 1e9);
    }

    @Test
    void rateEstimateFollowsThePapersFormula() {
        assertEquals(0.5 + 2 - 0.25 * 2 / 2, CallGapping.nextRate(2, 1, 0.25, 2), TOLERANCE);
        assertEquals(
                0.5, CallGapping.nextRate(2, 1, 3, 2), TOLERANCE, "an estimate decays to zero in a gap longer than T");
        assertEquals(0, CallGapping.nextRate(2, 0, 2, 2), TOLERANCE);
    }

    @Test
    void estimatesOfTwoTenantsMatchManualCalculation() {
        // c = 10, W = 10, so T = 1 s; shares one half each.
        CallGapping throttle = new CallGapping(new double[] {0.5, 0.5});
        assertTrue(throttle.offer(0, 10, 10, nanos(10)));
        assertEquals(1, throttle.offered[0], TOLERANCE);
        assertEquals(1, throttle.admitted[0], TOLERANCE);
        assertTrue(throttle.offer(1, 10, 10, nanos(10.5)));
        assertEquals(0.5, throttle.offered[0], TOLERANCE, "the other tenant's estimate decays too");
        assertEquals(1, throttle.offered[1], TOLERANCE);
        assertEquals(1.5, throttle.offeredTotal(), TOLERANCE);
    }

    @Test
    void timeConstantOfOfferAppliesToEstimatesOfAllTenants() {
        CallGapping throttle = new CallGapping(new double[] {0.5, 0.5});
        throttle.offer(0, 10, 10, nanos(10));
        throttle.offer(1, 10, 20, nanos(10.5));
        assertEquals(0.75, throttle.offered[0], TOLERANCE, "1 - 0.5 * 1 / 2, as T of the second offer is 2");
        assertEquals(0.5, throttle.offered[1], TOLERANCE);
    }

    @Test
    void changedCapacityChangesTimeConstantAtOnce() {
        CallGapping throttle = new CallGapping(new double[] {1});
        throttle.offer(0, 10, 10, nanos(10));
        throttle.offer(0, 20, 10, nanos(10.25));
        assertEquals(2 + 1 - 0.25 / 0.5, throttle.offered[0], TOLERANCE);
    }

    /** Only sent requests can prove recovery, so the throttle must not reject everything after a deep cut. */
    @Test
    void admitsAtNewRateSoonAfterDeepCapacityCut() {
        CallGapping throttle = new CallGapping(new double[] {0.6, 0.4});
        double timeSeconds = 10;
        for (int i = 0; i < 400; i++, timeSeconds += 0.01) {
            throttle.offer(i % 2, 80, 18, nanos(timeSeconds));
        }
        int admitted = 0;
        for (int i = 0; i < 500; i++, timeSeconds += 0.01) {
            admitted += throttle.offer(i % 2, 2, 18, nanos(timeSeconds)) ? 1 : 0;
        }
        assertTrue(admitted >= 7, "expected about 10 in 5 s at 2 per second, admitted " + admitted);
        assertTrue(admitted <= 14, "expected no burst, admitted " + admitted);
    }

    @Test
    void rejectedOfferDoesNotCountTowardsAdmittedRate() {
        // c = 2, W = 2, T = 1 s: the third offer at one instant exceeds c.
        CallGapping throttle = new CallGapping(new double[] {1});
        assertTrue(throttle.offer(0, 2, 2, nanos(5)));
        assertTrue(throttle.offer(0, 2, 2, nanos(5)));
        assertFalse(throttle.offer(0, 2, 2, nanos(5)));
        assertEquals(3, throttle.offered[0], TOLERANCE);
        assertEquals(2, throttle.admitted[0], TOLERANCE);
        assertFalse(throttle.offer(0, 2, 2, nanos(5.25)));
        assertEquals(1.5, throttle.admitted[0], TOLERANCE);
    }

    @Test
    void unusedCapacityGoesToTenantBeyondItsShare() {
        // c = 10, T = 1 s: tenant 0 makes 2 offers, then tenant 1 makes 20 at once; u = 2 + 5, so g_1 tends to 5 + 3.
        CallGapping throttle = new CallGapping(new double[] {0.5, 0.5});
        throttle.offer(0, 10, 10, nanos(5));
        throttle.offer(0, 10, 10, nanos(5));
        int admitted = 0;
        for (int i = 0; i < 20; i++) {
            admitted += throttle.offer(1, 10, 10, nanos(5)) ? 1 : 0;
        }
        assertEquals(8, admitted);
        assertFalse(throttle.wasWithinShare());
        assertTrue(throttle.offer(0, 10, 10, nanos(5)));
        assertTrue(throttle.wasWithinShare());
    }

    @Test
    void tenantWithinItsShareIsNeverRejected() {
        CallGapping throttle = new CallGapping(new double[] {0.5, 0.5});
        SplittableRandom random = new SplittableRandom(7);
        double timeSeconds = 1;
        for (int i = 0; i < 20_000; i++) {
            timeSeconds += random.nextDouble() * 0.3;
            boolean admitted = throttle.offer(i % 7 == 0 ? 1 : 0, 10, 12, nanos(timeSeconds));
            assertTrue(admitted || !throttle.wasWithinShare());
        }
    }

    @Test
    void admittedTotalStaysWithinCapacity() {
        CallGapping throttle = new CallGapping(new double[] {0.4, 0.3, 0.2, 0.1});
        SplittableRandom random = new SplittableRandom(11);
        double timeSeconds = 1;
        int admitted = 0;
        for (int i = 0; i < 50_000; i++) {
            timeSeconds += random.nextDouble() * 0.02;
            admitted += throttle.offer(random.nextInt(4), 30, 15, nanos(timeSeconds)) ? 1 : 0;
        }
        double admittedPerSecond = admitted / (timeSeconds - 1);
        assertTrue(
                admittedPerSecond <= 30 && admittedPerSecond > 20,
                "offered 100 per second, expected at most c = 30, admitted " + admittedPerSecond);
    }

    @Test
    void sharesAreScaledToASumOfOne() {
        CallGapping fractions = new CallGapping(new double[] {0.5, 0.5});
        CallGapping percentages = new CallGapping(new double[] {50, 50});
        for (int i = 0; i < 200; i++) {
            assertEquals(
                    fractions.offer(i % 3 == 0 ? 1 : 0, 5, 10, nanos(1 + i * 0.1)),
                    percentages.offer(i % 3 == 0 ? 1 : 0, 5, 10, nanos(1 + i * 0.1)));
        }
    }

    @Test
    void unlistedTenantGetsAllCapacityWithoutListedTenants() {
        CallGapping throttle = new CallGapping(new double[0]);
        int admitted = 0;
        for (int i = 0; i < 20; i++) {
            admitted += throttle.offer(UNLISTED_TENANT, 10, 10, nanos(5)) ? 1 : 0;
        }
        assertEquals(10, admitted);
    }

    @Test
    void unlistedTenantGetsOnlyUnusedCapacity() {
        CallGapping throttle = new CallGapping(new double[] {1});
        for (int i = 0; i < 10; i++) {
            assertTrue(throttle.offer(0, 10, 10, nanos(5)));
        }
        assertFalse(throttle.offer(UNLISTED_TENANT, 10, 10, nanos(5)));
        assertFalse(throttle.offer(42, 10, 10, nanos(5)));
        assertTrue(throttle.offer(UNLISTED_TENANT, 10, 10, nanos(8)));
    }
}
