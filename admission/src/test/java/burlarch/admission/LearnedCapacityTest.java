package burlarch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When {@link LearnedCapacity} rises and falls. */
class LearnedCapacityTest {
    private static final long STEP_NANOS = 20_000_000L;
    private long nowNanos = 1_000_000_000L;

    private static LearnedCapacity newCapacity(double initialPerSecond) {
        return new LearnedCapacity(new double[] {1}, initialPerSecond, LearnedCapacity.FLOOR_PER_SECOND, 12, 1);
    }

    private void makeOffers(LearnedCapacity capacity, double perSecond) {
        for (int i = 0; i < 200; i++) {
            nowNanos += (long) (1e9 / perSecond);
            capacity.growAheadOfOffers();
            capacity.offer(0, 18, nowNanos);
        }
    }

    private void recordOutcomes(
            LearnedCapacity capacity, int count, double strainSample, boolean accepted, boolean throttleBinds) {
        for (int i = 0; i < count; i++) {
            nowNanos += STEP_NANOS;
            if (throttleBinds) {
                capacity.onThrottleBinding(nowNanos);
            }
            capacity.onOutcome(nowNanos - STEP_NANOS / 2, strainSample, accepted, nowNanos);
        }
    }

    @Test
    void risesOnlyWhileTheThrottleBinds() {
        LearnedCapacity capacity = newCapacity(20);
        recordOutcomes(capacity, 50, 0.1, true, false);
        assertEquals(20, capacity.perSecond());
        recordOutcomes(capacity, 24, 0.1, true, true);
        assertTrue(capacity.perSecond() > 60, "expected to about double with each batch, is " + capacity.perSecond());
    }

    @Test
    void fallsOnErrorsOncePerBatch() {
        LearnedCapacity capacity = newCapacity(100);
        recordOutcomes(capacity, 12, 0.1, true, false);
        recordOutcomes(capacity, 9, 1, false, false);
        double perSecondAfterCut = capacity.perSecond();
        assertTrue(perSecondAfterCut < 100);
        capacity.onOutcome(nowNanos - 10_000_000_000L, 1, false, nowNanos);
        assertEquals(perSecondAfterCut, capacity.perSecond(), "an attempt sent before the cut is no evidence");
    }

    @Test
    void fallsOnGrowingLatencyBeforeErrors() {
        LearnedCapacity capacity = newCapacity(100);
        recordOutcomes(capacity, 20, 0.15, true, false);
        recordOutcomes(capacity, 12, 0.9, true, false);
        assertTrue(capacity.perSecond() < 100);
    }

    @Test
    void recoversFromTheFloor() {
        LearnedCapacity capacity = newCapacity(100);
        recordOutcomes(capacity, 500, 1, false, true);
        assertEquals(LearnedCapacity.FLOOR_PER_SECOND, capacity.perSecond());
        recordOutcomes(capacity, 200, 0.1, true, true);
        assertTrue(capacity.perSecond() > 50, "expected to recover after the fault, is " + capacity.perSecond());
    }

    @Test
    void climbsFromTheFloorWithinAFewAnswers() {
        LearnedCapacity capacity = newCapacity(100);
        recordOutcomes(capacity, 60, 1, false, true);
        assertTrue(capacity.perSecond() < 10);
        recordOutcomes(capacity, 24, 0.1, true, true);
        assertTrue(
                capacity.perSecond() > 4 * LearnedCapacity.FLOOR_PER_SECOND,
                "expected to rise although a low capacity gets few answers, is " + capacity.perSecond());
    }

    @Test
    void exceedsOfferedRateOnlyUntilFirstCut() {
        LearnedCapacity capacity = newCapacity(20);
        makeOffers(capacity, 100);
        assertTrue(capacity.perSecond() > 100);
        recordOutcomes(capacity, 30, 1, false, false);
        double perSecondAfterCut = capacity.perSecond();
        makeOffers(capacity, 500);
        assertEquals(perSecondAfterCut, capacity.perSecond());
    }
}
