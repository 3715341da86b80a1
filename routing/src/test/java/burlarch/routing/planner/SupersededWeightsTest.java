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
 * While newer weights replace older ones, entries cached under the older ones are not transferred or saved, and
 * engines with the newer ones are preferred.
 */
class SupersededWeightsTest {
    private static final Instance OLD = Fixture.engine("old", 1);
    private static final Instance OTHER = Fixture.engine("other", 1);
    private static final Instance OTHER_LOADING =
            Fixture.instance("other", "pool", 128, InstanceState.LOADING, List.of(new ServedModel(Fixture.MODEL, 1)));
    private static final Instance OTHER_WITH_NEW_WEIGHTS = Fixture.engine("other", 2);
    private static final String OLD_SALT = Fixture.MODEL + "|1";

    private final FleetPlanner planner = Fixture.planner(true, List.of(), 1);

    @Test
    void nothingIsFetchedFromAnEngineThatLoadsNewWeights() {
        planner.onInstances(List.of(OLD, OTHER), 0);
        RouteRequest request = Fixture.review(1, 0);
        reportCached("other", request);
        planner.onInstances(List.of(OLD, OTHER_LOADING), Fixture.MILLI);

        Placement.Send send = Fixture.send(planner, request, 0, 2 * Fixture.MILLI);

        assertThat(send.instance().id()).isEqualTo("old");
        assertThat(send.kvFetch()).isNull();
    }

    /** The announcement after a load may arrive before the version that was loaded is known. */
    @Test
    void nothingIsFetchedFromAnEngineThatHasLoadedUntilItsVersionIsKnown() {
        planner.onInstances(List.of(OLD, OTHER), 0);
        RouteRequest request = Fixture.review(1, 0);
        reportCached("other", request);
        planner.onInstances(List.of(OLD, OTHER_LOADING), Fixture.MILLI);
        planner.onInstances(List.of(OLD, OTHER), 2 * Fixture.MILLI);
        // Many requests keep the engines busy, so that the other engine is chosen too.
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
        planner.onInstances(List.of(OLD, OTHER_LOADING, third), 0);
        RouteRequest request = Fixture.review(1, 0);
        reportCached("third", request);
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
        reportCached("store", request);
        assertThat(Fixture.send(planner, Fixture.review(1, 0), 0, Fixture.MILLI).kvFetch())
                .as("before newer weights are known")
                .isEqualTo(Fixture.STORE);
        planner.onInstances(List.of(OLD, OTHER_LOADING), 2 * Fixture.MILLI);

        assertThat(Fixture.send(planner, Fixture.review(1, 0), 0, 3 * Fixture.MILLI)
                        .kvFetch())
                .isNull();
    }

    @Test
    void nothingIsSavedUnderSupersededWeights() {
        planner.onInstances(List.of(OLD), 0);
        assertThat(Fixture.send(planner, Fixture.review(1, 0), 0, 0).kvSave()).isEqualTo(Fixture.STORE);
        planner.onInstances(List.of(OLD, OTHER_LOADING), Fixture.MILLI);

        assertThat(Fixture.send(planner, Fixture.review(2, 0), 0, 2 * Fixture.MILLI)
                        .kvSave())
                .isNull();
    }

    @Test
    void newWeightsAreTransferredAndSavedWhileOtherEnginesStillLoad() {
        Instance third = Fixture.instance(
                "third", "pool", 128, InstanceState.LOADING, List.of(new ServedModel(Fixture.MODEL, 1)));
        planner.onInstances(List.of(OTHER_WITH_NEW_WEIGHTS, third), 0);

        Placement.Send send = Fixture.send(planner, Fixture.review(1, 0), 0, 0);

        assertThat(send.instance().id()).isEqualTo("other");
        assertThat(send.kvSave()).isEqualTo(Fixture.STORE);
    }

    /** A router that starts during a load may see the new version with the LOADING state, and a load may fail. */
    @Test
    void aLoadingStateThatNoNewerVersionFollowsIsForgotten() {
        planner.onInstances(List.of(OLD, OTHER_LOADING), 0);
        planner.onInstances(List.of(OLD, OTHER), Fixture.SECOND);
        assertThat(Fixture.send(planner, Fixture.review(1, 0), 0, 2 * Fixture.SECOND)
                        .kvSave())
                .isNull();

        assertThat(Fixture.send(planner, Fixture.review(2, 0), 0, 5 * Fixture.SECOND)
                        .kvSave())
                .isEqualTo(Fixture.STORE);
    }

    /** The LOADING state ends a little after the announcement of the new version. */
    @Test
    void weightsThatWereJustLoadedAreNotSuperseded() {
        planner.onInstances(List.of(OLD, OTHER), 0);
        planner.onInstances(List.of(OLD, OTHER_LOADING), Fixture.MILLI);
        Instance loaded = Fixture.instance(
                "other", "pool", 128, InstanceState.LOADING, List.of(new ServedModel(Fixture.MODEL, 2)));
        planner.onInstances(List.of(OLD, loaded), 2 * Fixture.MILLI);
        planner.onInstances(List.of(OLD, OTHER_WITH_NEW_WEIGHTS), 3 * Fixture.MILLI);
        // An announcement by another controller that has not yet learned of the end of the load.
        planner.onInstances(List.of(OLD, loaded), 3 * Fixture.MILLI);
        planner.onInstances(List.of(OTHER_WITH_NEW_WEIGHTS), 4 * Fixture.MILLI);

        Placement.Send send = Fixture.send(planner, Fixture.review(1, 0), 0, 5 * Fixture.MILLI);

        assertThat(send.expectVersion()).isEqualTo(2);
        assertThat(send.kvSave()).isEqualTo(Fixture.STORE);
    }

    /** Prompts without cached segments cost the same at each engine, so that the weights version decides. */
    @Test
    void anEngineWithNewWeightsIsPreferredFromTheMomentItIsKnown() {
        planner.onInstances(List.of(OLD, OTHER_WITH_NEW_WEIGHTS), 0);
        for (int i = 0; i < 20; i++) {
            RouteRequest request = Fixture.request(
                    Fixture.LETTER, null, List.of(new PromptSegment(9_000 + i, 300)), i * Fixture.SECOND);

            Placement.Send send = Fixture.serve(planner, request, i * Fixture.SECOND, 70 * Fixture.MILLI);

            assertThat(send.expectVersion()).isEqualTo(2);
        }
    }

    @Test
    void anEngineWithOldWeightsServesWhatTheNewOnesAreTooBusyFor() {
        planner.onInstances(List.of(OLD, OTHER_WITH_NEW_WEIGHTS), 0);
        int servedByOldWeights = 0;
        for (int i = 0; i < 40; i++) {
            RouteRequest request =
                    Fixture.request(Fixture.LETTER, null, List.of(new PromptSegment(9_000 + i, 3_000)), 0);
            servedByOldWeights += Fixture.send(planner, request, 0, 0).expectVersion() == 1 ? 1 : 0;
        }
        assertThat(servedByOldWeights).isBetween(10, 20);
    }

    private void reportCached(String source, RouteRequest request) {
        List<KvEvents.KvEvent> events = request.segments().stream()
                .map(segment -> new KvEvents.KvEvent(true, OLD_SALT, segment.id(), segment.tokens(), Fixture.MODEL))
                .toList();
        planner.onKvEvents(new KvEvents(source, 1, false, events), 0);
    }
}
