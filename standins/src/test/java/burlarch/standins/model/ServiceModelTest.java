package burlarch.standins.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests completion times of the server model against hand-calculated ones, in virtual time. */
class ServiceModelTest {
    private static final long MS = 1_000_000;

    private static MachineKind kind(int slots, int queue, double coldShare, long coldMs) {
        return new MachineKind(
                "fast", 2, 2, slots, queue, 10, coldShare, coldMs * MS, 1000, 0, 0, 1000, 3, 3000 * MS, 5000 * MS);
    }

    /** Runs the model until its jobs are completed, and returns the completion times in milliseconds, in order. */
    private static List<Long> run(ServiceModel model, int jobs) {
        List<Long> completionMillis = new ArrayList<>();
        while (completionMillis.size() < jobs && model.nextNanos() != Long.MAX_VALUE) {
            long nowNanos = model.nextNanos();
            model.advance(nowNanos).forEach(job -> completionMillis.add(Math.round(nowNanos / 1e6)));
        }
        return completionMillis;
    }

    @Test
    void slotsRunConcurrentlyAndOtherJobsWait() {
        ServiceModel model = new ServiceModel(kind(2, 2, 1, 1), 0, false);
        for (int i = 0; i < 4; i++) {
            assertEquals(ServiceModel.Admission.ACCEPTED, model.offer(0, new Job(100 * MS)));
        }
        assertEquals(ServiceModel.Admission.FULL, model.offer(0, new Job(100 * MS)));
        assertEquals(List.of(50L, 50L, 100L, 100L), run(model, 4));
    }

    @Test
    void moreSlotsThanCoresShareTheCores() {
        ServiceModel model = new ServiceModel(kind(4, 0, 1, 1), 0, false);
        for (int i = 0; i < 4; i++) {
            model.offer(0, new Job(100 * MS));
        }
        assertEquals(List.of(100L, 100L, 100L, 100L), run(model, 4));
    }

    @Test
    void slowdownKeepsWorkAlreadyDone() {
        ServiceModel model = new ServiceModel(kind(2, 0, 1, 1), 0, false);
        model.offer(0, new Job(100 * MS));
        // Half of the work is done in 25 ms; the other half takes ten times as long.
        model.slow(25 * MS, 10);
        assertEquals(List.of(275L), run(model, 1));
    }

    @Test
    void removedJobFreesItsSlot() {
        ServiceModel model = new ServiceModel(kind(2, 1, 1, 1), 0, false);
        Job first = new Job(100 * MS);
        model.offer(0, first);
        model.offer(0, new Job(100 * MS));
        Job third = new Job(100 * MS);
        model.offer(0, third);
        assertTrue(model.remove(first));
        assertFalse(model.remove(first));
        // The third job takes the free slot at the next advance, which is when the second job completes.
        assertEquals(List.of(50L, 100L), run(model, 2));
    }

    @Test
    void coldServerWarmsUpLinearly() {
        ServiceModel model = new ServiceModel(kind(2, 0, 0.25, 1000), 0, true);
        assertEquals(1.0, model.capacity(0), 0.01);
        assertEquals(2.5, model.capacity(500 * MS), 0.01);
        assertEquals(4.0, model.capacity(1000 * MS), 0.01);
    }

    @Test
    void coldServerFailsFromOverloadAndWarmServerDoesNot() {
        ServiceModel cold = new ServiceModel(kind(2, 0, 0.1, 60_000), 0, true);
        ServiceModel warm = new ServiceModel(kind(2, 0, 0.1, 60_000), 0, false);
        // Limit: 3 x 0.4 cores x 3 s = 3.6 s, and a tolerance of a few requests; rejected jobs count as well.
        int accepted = 0;
        for (int i = 0; i < 60; i++) {
            warm.offer(i * MS, new Job(100 * MS));
            accepted += cold.offer(i * MS, new Job(100 * MS)) == ServiceModel.Admission.FAILED ? 0 : 1;
        }
        assertEquals(40, accepted);
        assertEquals(1, cold.overloadFailures());
        assertEquals(0, warm.overloadFailures());
        assertEquals(ServiceModel.Admission.FAILED, cold.offer(4000 * MS, new Job(MS)));
        cold.advance(9000 * MS);
        assertEquals(ServiceModel.Admission.ACCEPTED, cold.offer(9000 * MS, new Job(MS)));
    }

    @Test
    void cacheEvictsLeastRecentlyUsedEntries() {
        ObjectCache cache = new ObjectCache(3 * (64 + 1 + 10));
        for (String key : List.of("a", "b", "c")) {
            cache.put(key, new byte[10]);
        }
        cache.get("a");
        cache.put("d", new byte[10]);
        assertEquals(null, cache.get("b"));
        assertEquals(10, cache.get("a").length);
        cache.put("e", new byte[1000]);
        assertEquals(0, cache.count());
        assertEquals(0, cache.bytes());
    }
}
