package burlarch.routing.planner;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.registry.InstanceState;
import burlarch.routing.KvEvents;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouteRequest.PromptSegment;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * While newer weights replace older ones, what is cached under the older ones is not moved, and engines with the newer
 * ones are preferred.
 */
class SupersededWeightsTest {
    private static final Instance OLD = Fixture.engine("old", 1);
    private static final Instance OTHER = Fixture.engine("other", 1);
    private static final Instance OTHER_LOADS =
            Fixture.instance("other", "pool", 128, InstanceState.LOADING, List.of(new ServedModel(Fixture.MODEL, 1)));
    private static final Instance OTHER_IS_NEW = Fixture.engine("other", 2);
    private static final String OLD_SALT = Fixture.MODEL + "|1";

    private final FleetPlanner planner = Fixture.planner(true, List.of(), 1);

    @Test
    void nothingIsFetchedFromAnEngineThatLoadsNewWeights() {
        planner.onInstances(List.of(OLD, OTHER), 0);
        RouteRequest request = Fixture.review(1, 0);
        cacheAt("other", request);
        planner.onInstances(List.of(OLD, OTHER_LOADS), Fixture.MILLI);

        Placement.Send send = Fixture.send(planner, request, 0, 2 * Fixture.MILLI);

        assertThat(send.instance().id()).isEqualTo("old");
        assertThat(send.kvFetch()).isNull();
    }

    /** Its announcement may come before the version that it has loaded is known. */
    @Test
    void nothingIsFetchedFromAnEngineThatHasLoadedUntilItsVersionIsKnown() {
        planner.onInstances(List.of(OLD, OTHER), 0);
        RouteRequest request = Fixture.review(1, 0);
        cacheAt("other", request);
        planner.onInstances(List.of(OLD, OTHER_LOADS), Fixture.MILLI);
        planner.onInstances(List.of(OLD, OTHER), 2 * Fixture.MILLI);
        // Another router's requests keep it busy, so that the other engine is chosen.
        for (int i = 0; i < 40; i++) {
            Placement.Send send = Fixture.send(planner, Fixture.review(1, 0), 0, 3 * Fixture.MILLI);
            if (send.instance().id().equals("old")) {
                assertThat(send.kvFetch()).isNull();
            }
        }
    }

    @Test
    void enginesThatHaveNotLoadedFetchFromOneAnother() {
        Instance third = Fixture.engine("third", 1);
        planner.onInstances(List.of(OLD, OTHER_LOADS, third), 0);
        RouteRequest request = Fixture.review(1, 0);
        cacheAt("third", request);
        boolean fetched = false;
        for (int i = 0; i < 60 && !fetched; i++) {
            Placement.Send send = Fixture.send(planner, Fixture.review(1, 0), 0, Fixture.MILLI);
            fetched = "third:80".equals(send.kvFetch());
        }
        assertThat(fetched).isTrue();
    }

    @Test
    void nothingIsFetchedFromAStoreUnderSupersededWeights() {
        planner.onInstances(List.of(OLD), 0);
        RouteRequest request = Fixture.review(1, 0);
        cacheAt("store", request);
        assertThat(Fixture.send(planner, Fixture.review(1, 0), 0, Fixture.MILLI).kvFetch())
                .as("before newer weights are known")
                .isEqualTo(Fixture.STORE);
        planner.onInstances(List.of(OLD, OTHER_LOADS), 2 * Fixture.MILLI);

        assertThat(Fixture.send(planner, Fixture.review(1, 0), 0, 3 * Fixture.MILLI)
                        .kvFetch())
                .isNull();
    }

    @Test
    void nothingIsSavedUnderSupersededWeights() {
        planner.onInstances(List.of(OLD), 0);
        assertThat(Fixture.send(planner, Fixture.review(1, 0), 0, 0).kvSave()).isEqualTo(Fixture.STORE);
        planner.onInstances(List.of(OLD, OTHER_LOADS), Fixture.MILLI);

        assertThat(Fixture.send(planner, Fixture.review(2, 0), 0, 2 * Fixture.MILLI)
                        .kvSave())
                .isNull();
    }

    @Test
    void newWeightsAreTransferredAndSavedWhileOtherEnginesStillLoad() {
        Instance third = Fixture.instance(
                "third", "pool", 128, InstanceState.LOADING, List.of(new ServedModel(Fixture.MODEL, 1)));
        planner.onInstances(List.of(OTHER_IS_NEW, third), 0);

        Placement.Send send = Fixture.send(planner, Fixture.review(1, 0), 0, 0);

        assertThat(send.instance().id()).isEqualTo("other");
        assertThat(send.kvSave()).isEqualTo(Fixture.STORE);
    }

    /** A router that starts meanwhile may see the new version with the mark, and a mark may lead to nothing. */
    @Test
    void aMarkOfLoadingThatNoNewerVersionFollowsIsForgotten() {
        planner.onInstances(List.of(OLD, OTHER_LOADS), 0);
        planner.onInstances(List.of(OLD, OTHER), Fixture.SECOND);
        assertThat(Fixture.send(planner, Fixture.review(1, 0), 0, 2 * Fixture.SECOND)
                        .kvSave())
                .isNull();

        assertThat(Fixture.send(planner, Fixture.review(2, 0), 0, 5 * Fixture.SECOND)
                        .kvSave())
                .isEqualTo(Fixture.STORE);
    }

    /** The mark of loading ends a little after the announcement of the new version. */
    @Test
    void weightsThatWereJustLoadedAreNotSuperseded() {
        planner.onInstances(List.of(OLD, OTHER), 0);
        planner.onInstances(List.of(OLD, OTHER_LOADS), Fixture.MILLI);
        Instance loaded = Fixture.instance(
                "other", "pool", 128, InstanceState.LOADING, List.of(new ServedModel(Fixture.MODEL, 2)));
        planner.onInstances(List.of(OLD, loaded), 2 * Fixture.MILLI);
        planner.onInstances(List.of(OLD, OTHER_IS_NEW), 3 * Fixture.MILLI);
        // Another controller, which has not heard of the end of the load yet.
        planner.onInstances(List.of(OLD, loaded), 3 * Fixture.MILLI);
        planner.onInstances(List.of(OTHER_IS_NEW), 4 * Fixture.MILLI);

        Placement.Send send = Fixture.send(planner, Fixture.review(1, 0), 0, 5 * Fixture.MILLI);

        assertThat(send.expectVersion()).isEqualTo(2);
        assertThat(send.kvSave()).isEqualTo(Fixture.STORE);
    }

    /** Prompts without cached segments cost as much at each engine, so that the weights decide. */
    @Test
    void anEngineWithNewWeightsIsPreferredFromTheMomentItIsKnown() {
        planner.onInstances(List.of(OLD, OTHER_IS_NEW), 0);
        for (int i = 0; i < 20; i++) {
            RouteRequest request = Fixture.request(
                    Fixture.LETTER, null, List.of(new PromptSegment(9_000 + i, 300)), i * Fixture.SECOND);

            Placement.Send send = Fixture.serve(planner, request, i * Fixture.SECOND, 70 * Fixture.MILLI);

            assertThat(send.expectVersion()).isEqualTo(2);
        }
    }

    @Test
    void anEngineWithOldWeightsServesWhatTheNewOnesAreTooBusyFor() {
        planner.onInstances(List.of(OLD, OTHER_IS_NEW), 0);
        int old = 0;
        for (int i = 0; i < 40; i++) {
            RouteRequest request =
                    Fixture.request(Fixture.LETTER, null, List.of(new PromptSegment(9_000 + i, 3_000)), 0);
            old += Fixture.send(planner, request, 0, 0).expectVersion() == 1 ? 1 : 0;
        }
        assertThat(old).isBetween(10, 20);
    }

    private void cacheAt(String source, RouteRequest request) {
        List<KvEvents.KvEvent> events = request.segments().stream()
                .map(segment -> new KvEvents.KvEvent(true, OLD_SALT, segment.id(), segment.tokens(), Fixture.MODEL))
                .toList();
        planner.onKvEvents(new KvEvents(source, 1, false, events), 0);
    }
}
