package burlarch.emulator.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests caching, eviction, reservation and events of the KV cache. Blocks have 10 tokens. */
class KvCacheTest {
    private static final PromptSegment SEGMENT_A = new PromptSegment("a", 20);
    private static final PromptSegment SEGMENT_B = new PromptSegment("b", 30);
    private static final PromptSegment SEGMENT_C = new PromptSegment("c", 10);

    private final KvEventLog log = new KvEventLog(7, 4);
    private final KvCache cache = new KvCache(10, 6, log);

    @Test
    void segmentCountsOnlyIfAllBeforeItAreCached() {
        cache.cache("s", List.of(SEGMENT_B), "m");
        assertThat(cache.cachedPrefixTokens("s", List.of(SEGMENT_A, SEGMENT_B))).isZero();
        cache.cache("s", List.of(SEGMENT_A), "m");
        assertThat(cache.cachedPrefixTokens("s", List.of(SEGMENT_A, SEGMENT_B, SEGMENT_C)))
                .isEqualTo(50);
    }

    @Test
    void segmentIsNotFoundUnderAnotherSalt() {
        cache.cache("s", List.of(SEGMENT_A), "m");
        assertThat(cache.cachedPrefixTokens("t", List.of(SEGMENT_A))).isZero();
    }

    @Test
    void leastRecentlyUsedSegmentIsEvicted() {
        cache.cache("s", List.of(SEGMENT_A, SEGMENT_B), "m");
        cache.cachedPrefixTokens("s", List.of(SEGMENT_A));
        assertThat(cache.reserve(3)).isTrue();
        assertThat(cache.cachedSegments())
                .extracting(KvCache.CachedSegment::segment)
                .containsExactly("a");
        assertThat(log.since(0).events()).extracting(KvEventLog.Event::added).containsExactly(true, true, false);
    }

    @Test
    void reservedMemoryIsNotEvicted() {
        assertThat(cache.reserve(5)).isTrue();
        assertThat(cache.reserve(2)).isFalse();
        cache.cache("s", List.of(SEGMENT_A), "m");
        assertThat(cache.cachedSegments()).isEmpty();
        assertThat(cache.usedTokens()).isEqualTo(50);
        cache.release(5);
        assertThat(cache.usedTokens()).isZero();
    }

    @Test
    void evictModelEvictsOnlySegmentsOfThatModel() {
        cache.cache("s", List.of(SEGMENT_A), "m");
        cache.cache("s", List.of(SEGMENT_C), "n");
        cache.evictModel("m");
        assertThat(cache.cachedSegments())
                .extracting(KvCache.CachedSegment::model)
                .containsExactly("n");
    }

    @Test
    void readersContinueAfterTheirLastEvent() {
        cache.cache("s", List.of(SEGMENT_A), "m");
        KvEventLog.Page first = log.since(0);
        cache.cache("s", List.of(SEGMENT_C), "m");
        KvEventLog.Page second = log.since(first.next());
        assertThat(second.events()).extracting(KvEventLog.Event::segment).containsExactly("c");
        assertThat(second.lost()).isFalse();
        assertThat(log.since(second.next()).events()).isEmpty();
        assertThat(second.epoch()).isEqualTo(7);
    }

    @Test
    void lostEventsAreReported() {
        for (int i = 0; i < 3; i++) {
            cache.cache("s", List.of(SEGMENT_A, SEGMENT_C), "m");
            cache.evictModel("m");
        }
        assertThat(log.since(0).lost()).isTrue();
        assertThat(log.since(0).events()).hasSize(4);
        assertThat(log.since(99).lost()).isTrue();
        assertThat(log.since(log.lastNumber()).lost()).isFalse();
    }
}
