package burlarch.routing.planner;

import static burlarch.routing.planner.Fixture.MILLI;
import static burlarch.routing.planner.Fixture.MODEL;
import static burlarch.routing.planner.Fixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.KvEvents;
import burlarch.routing.KvEvents.KvEvent;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouteRequest.PromptSegment;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Shared segments are prefilled once and transferred from then on. */
class SharedSegmentsTest {
    private static final String SALT = "m|1";

    private static FleetPlanner router(boolean store) {
        FleetPlanner planner = Fixture.planner(store, null, 3);
        planner.onInstances(Fixture.engines(6), 0);
        return planner;
    }

    private static KvEvents cachedEvents(String source, List<PromptSegment> segments) {
        List<KvEvent> events = new ArrayList<>();
        for (PromptSegment segment : segments) {
            events.add(new KvEvent(true, SALT, segment.id(), segment.tokens(), MODEL));
        }
        return new KvEvents(source, 1, false, events);
    }

    private static RouteRequest review(List<PromptSegment> segments, long now) {
        return Fixture.request(Fixture.REVIEW, null, segments, now);
    }

    @Test
    void segmentsAreSavedWhenTheyAreFirstPrefilled() {
        FleetPlanner router = router(true);
        assertThat(Fixture.serve(router, Fixture.review(1, 0), 0, 300 * MILLI).kvSave())
                .isEqualTo(Fixture.STORE);
        assertThat(Fixture.send(router, Fixture.review(1, 0), 0, SECOND).kvSave())
                .isNull();
    }

    @Test
    void promptsWithTheSameUncachedFirstSegmentGoToOneEngine() {
        Set<String> engines = new HashSet<>();
        for (int topic = 0; topic < 12; topic++) {
            engines.add(Fixture.send(router(false), Fixture.review(topic, 0), 0, 0)
                    .instance()
                    .id());
        }
        assertThat(engines).hasSize(1);
    }

    @Test
    void promptsWithTheSameCachedFirstSegmentSpreadAndItIsTransferred() {
        Set<String> engines = new HashSet<>();
        for (int topic = 0; topic < 24; topic++) {
            FleetPlanner router = router(false);
            router.onKvEvents(cachedEvents("e2", Fixture.promptSegments(0).subList(0, 1)), 0);
            Placement.Send send = Fixture.send(router, Fixture.review(topic, 0), 0, 0);
            engines.add(send.instance().id());
            assertThat(send.kvFetch()).isEqualTo(send.instance().id().equals("e2") ? null : "e2:80");
        }
        assertThat(engines).hasSizeGreaterThan(3);
    }

    @Test
    void aPromptGoesToTheEngineThatIsPrefillingItsFirstSegment() {
        FleetPlanner router = router(false);
        Placement.Send first = Fixture.send(router, Fixture.review(1, 0), 0, 0);
        assertThat(Fixture.send(router, Fixture.review(2, 0), 0, 10 * MILLI).instance())
                .isEqualTo(first.instance());
    }

    @Test
    void evenASmallSegmentIsTransferredRatherThanPrefilledAgain() {
        FleetPlanner router = router(false);
        List<PromptSegment> segments =
                List.of(new PromptSegment(5, 110), new PromptSegment(6, 40), new PromptSegment(7, 500));
        router.onKvEvents(cachedEvents("e0", segments.subList(0, 1)), 0);
        Placement.Send send = Fixture.send(router, review(segments, 0), 0, 0);
        assertThat(send.instance().id().equals("e0") || "e0:80".equals(send.kvFetch()))
                .isTrue();
    }

    @Test
    void aStoreThatMayHaveSavedTheSegmentsIsProbed() {
        FleetPlanner router = router(true);
        assertThat(Fixture.send(router, Fixture.review(1, 0), 0, 0).kvFetch()).isNull();
        router.onKvEvents(cachedEvents("store", List.of(new PromptSegment(99, 50))), 0);
        assertThat(Fixture.send(router, Fixture.review(9, 0), 0, MILLI).kvFetch())
                .isEqualTo(Fixture.STORE);
    }

    @Test
    void aStoreThatDoesNotReportItsSavesIsNotUsedUntilItReportsAgain() {
        FleetPlanner router = router(true);
        router.onKvEvents(cachedEvents("store", Fixture.promptSegments(50).subList(0, 2)), 0);
        for (int i = 0; i < 3; i++) {
            List<PromptSegment> segments = List.of(new PromptSegment(500 + i, 900), new PromptSegment(600 + i, 50));
            Fixture.serve(router, review(segments, 0), i * 50 * MILLI, 40 * MILLI);
        }
        assertThat(Fixture.send(router, Fixture.review(50, 0), 0, 2 * SECOND).kvFetch())
                .isNull();
        router.onKvEvents(cachedEvents("store", List.of(new PromptSegment(99, 50))), 3 * SECOND);
        RouteRequest later = Fixture.review(50, 7 * SECOND);
        assertThat(Fixture.send(router, later, 0, 7 * SECOND).kvFetch()).isEqualTo(Fixture.STORE);
    }

    @Test
    void clientsOfARouterWithoutInstancesReturnAfterTheNextAnnouncements() {
        FleetPlanner router = Fixture.planner(false, null, 3);
        Set<Long> waits = new HashSet<>();
        for (int i = 0; i < 10; i++) {
            Placement.Reject rejection = (Placement.Reject) router.plan(Fixture.review(1, 0), 0, 0);
            assertThat(rejection.retryAfterMillis()).isBetween(400L, 1_200L);
            waits.add(rejection.retryAfterMillis());
        }
        assertThat(waits).hasSizeGreaterThan(5);
    }
}
