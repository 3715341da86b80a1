package burlarch.engine;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.KvEvents.KvEvent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against publishing superseded events, each of which would be sent to every router. */
class KvEventCompactorTest {
    private static KvEvent event(boolean added, String salt, long segment, int tokens) {
        return new KvEvent(added, salt, segment, tokens, "m");
    }

    /** Returns the number of cached tokens after these events, by salt and segment. */
    private static Map<String, Integer> cachedTokens(List<KvEvent> events) {
        Map<String, Integer> cachedTokens = new HashMap<>();
        for (KvEvent event : events) {
            cachedTokens.put(event.salt() + "/" + event.segment(), event.tokens());
        }
        return cachedTokens;
    }

    @Test
    void segmentReadInChunksIsReportedOnce() {
        List<KvEvent> events = List.of(
                event(true, "s", 1, 2_048),
                event(true, "s", 1, 4_096),
                event(true, "s", 2, 16),
                event(true, "s", 1, 4_100));
        assertThat(KvEventCompactor.compact(events))
                .containsExactly(event(true, "s", 2, 16), event(true, "s", 1, 4_100));
    }

    @Test
    void updateContainsOnlyTheLatestEventOfASegment() {
        KvEventsResponse response = new KvEventsResponse(
                KvEventsResponse.Status.OK,
                5,
                3,
                false,
                List.of(event(true, "s", 1, 2_048), event(true, "s", 1, 4_096)));
        KvUpdate update = new KvSubscriptionState("e", () -> 0, 0)
                .onEvents(response, 0, 0)
                .orElseThrow();
        assertThat(update.events().events()).containsExactly(event(true, "s", 1, 4_096));
        assertThat(update.next()).isEqualTo(3);
    }

    @Test
    void equalIdsWithDifferentSaltsAreDifferentSegments() {
        List<KvEvent> events = List.of(event(true, "s", 1, 16), event(false, "t", 1, 0));
        assertThat(KvEventCompactor.compact(events)).isEqualTo(events);
    }

    @Test
    void compactionPreservesCachedTokensOfEachSegment() {
        Random random = new Random(7);
        for (int round = 0; round < 500; round++) {
            List<KvEvent> events = new ArrayList<>();
            for (int i = random.nextInt(30); i > 0; i--) {
                boolean added = random.nextBoolean();
                events.add(event(added, "s" + random.nextInt(2), random.nextInt(5), random.nextInt(3) * 16));
            }
            List<KvEvent> compacted = KvEventCompactor.compact(events);
            assertThat(cachedTokens(compacted)).isEqualTo(cachedTokens(events));
            assertThat(compacted).hasSize(cachedTokens(events).size());
        }
    }
}
