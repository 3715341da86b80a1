package burlarch.proxy.hotlist;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Compares the summary with exact counts, and its rates with a simulated clock. */
class SpaceSavingTest {
    private static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static HotKey key(String name) {
        return HotKey.of("aviles", name, name.hashCode());
    }

    private static Map<HotKey, SpaceSaving.Entry> byKey(SpaceSaving summary, long nowNanos) {
        return summary.entries(nowNanos).stream()
                .collect(Collectors.toMap(SpaceSaving.Entry::key, Function.identity()));
    }

    /** Zipf-like stream: key i occurs about 1/i times as often as the first; there are far more keys than counters. */
    @Test
    void countsOfASkewedStreamAreWithinTheirErrorAndHeavyKeysArePresent() {
        int capacity = 64;
        int arrivals = 100_000;
        for (int seed = 1; seed <= 5; seed++) {
            Random random = new Random(seed);
            SpaceSaving summary = new SpaceSaving(capacity, HALF_LIFE_NANOS);
            Map<HotKey, Long> exactCounts = new HashMap<>();
            for (int i = 0; i < arrivals; i++) {
                HotKey key = key("k" + (int) Math.pow(5000, random.nextDouble()));
                exactCounts.merge(key, 1L, Long::sum);
                summary.add(key, i);
            }
            Map<HotKey, SpaceSaving.Entry> entries = byKey(summary, arrivals);
            assertEquals(capacity, entries.size());
            assertEquals(
                    arrivals,
                    entries.values().stream()
                            .mapToLong(SpaceSaving.Entry::count)
                            .sum());
            for (SpaceSaving.Entry entry : entries.values()) {
                long exactCount = exactCounts.get(entry.key());
                assertTrue(
                        exactCount <= entry.count() && entry.count() <= exactCount + entry.error(),
                        exactCount + " but " + entry);
                assertTrue(entry.error() <= arrivals / capacity, entry.toString());
            }
            exactCounts.forEach((key, count) -> assertTrue(
                    count <= arrivals / capacity || entries.containsKey(key), key + " came " + count + " times"));
        }
    }

    @Test
    void countsAreExactIfEveryKeyHasACounter() {
        SpaceSaving summary = new SpaceSaving(3, HALF_LIFE_NANOS);
        for (String name : new String[] {"a", "b", "c", "a", "b", "a"}) {
            summary.add(key(name), 0);
        }
        Map<HotKey, SpaceSaving.Entry> entries = byKey(summary, 0);
        assertEquals(
                List.of(3L, 2L, 1L),
                List.of(
                        entries.get(key("a")).count(),
                        entries.get(key("b")).count(),
                        entries.get(key("c")).count()));
        assertTrue(entries.values().stream().allMatch(entry -> entry.error() == 0));
    }

    @Test
    void aNewKeyInheritsTheLowestCountAsItsError() {
        SpaceSaving summary = new SpaceSaving(2, HALF_LIFE_NANOS);
        for (String name : new String[] {"a", "a", "a", "b", "b", "new"}) {
            summary.add(key(name), 0);
        }
        Map<HotKey, SpaceSaving.Entry> entries = byKey(summary, 0);
        assertEquals(3, entries.get(key("new")).count());
        assertEquals(2, entries.get(key("new")).error());
        assertEquals(3, entries.get(key("a")).count());
    }

    @Test
    void aRateHalvesWithEveryHalfLifeWhileTheCountStays() {
        SpaceSaving summary = new SpaceSaving(2, HALF_LIFE_NANOS);
        for (int i = 0; i < 40; i++) {
            summary.add(key("a"), 5);
        }
        double initialRate = byKey(summary, 5).get(key("a")).requestsPerSecond();
        assertEquals(40 * Math.log(2) / 60, initialRate, 1e-9);
        assertEquals(
                initialRate / 2,
                byKey(summary, 5 + HALF_LIFE_NANOS).get(key("a")).requestsPerSecond(),
                1e-9);
        summary.add(key("a"), 5 + 2 * HALF_LIFE_NANOS);
        SpaceSaving.Entry later = byKey(summary, 5 + 2 * HALF_LIFE_NANOS).get(key("a"));
        assertEquals(11 * Math.log(2) / 60, later.requestsPerSecond(), 1e-9);
        assertEquals(41, later.count());
    }

    @Test
    void theReportedRateConvergesToASteadyRequestRate() {
        SpaceSaving summary = new SpaceSaving(2, HALF_LIFE_NANOS);
        long gapNanos = TimeUnit.MILLISECONDS.toNanos(200);
        long nowNanos = 0;
        for (; nowNanos < 10 * HALF_LIFE_NANOS; nowNanos += gapNanos) {
            summary.add(key("a"), nowNanos);
        }
        assertEquals(5, byKey(summary, nowNanos).get(key("a")).requestsPerSecond(), 0.05);
    }
}
