package burlarch.routing.planner;

import static burlarch.routing.planner.Fixture.MILLI;
import static burlarch.routing.planner.Fixture.MODEL;
import static burlarch.routing.planner.Fixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.Configuration.RouteType;
import burlarch.configuration.Configuration.Split;
import burlarch.configuration.Configuration.Tenant;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.registry.InstanceState;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.KvEvents;
import burlarch.routing.KvEvents.KvEvent;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import burlarch.routing.ServerLoad;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FleetPlannerTest {
    private final FleetPlanner planner = Fixture.planner(false, null, 1);

    private static KvEvents cachedEvents(String source, String salt, RouteRequest request) {
        List<KvEvent> events = request.segments().stream()
                .map(segment -> new KvEvent(true, salt, segment.id(), segment.tokens(), MODEL))
                .toList();
        return new KvEvents(source, 1, false, events);
    }

    @Test
    void aPromptReturnsToTheEngineThatCachesItsSegments() {
        planner.onInstances(Fixture.engines(6), 0);
        for (int topic = 0; topic < 20; topic++) {
            long now = topic * 10 * SECOND;
            Placement.Send first = Fixture.serve(planner, Fixture.review(topic, now), now, 400 * MILLI);
            Placement.Send second =
                    Fixture.serve(planner, Fixture.review(topic, now + 2 * SECOND), now + 2 * SECOND, 150 * MILLI);
            assertThat(second.instance()).isEqualTo(first.instance());
            assertThat(second.predictedFirstEventNanos()).isLessThan(first.predictedFirstEventNanos());
        }
    }

    @Test
    void eventsReportSegmentsOfRequestsThatOtherRoutersSent() {
        planner.onInstances(Fixture.engines(6), 0);
        RouteRequest before = Fixture.review(7, 0);
        for (int i = 0; i < 6; i++) {
            FleetPlanner fresh = Fixture.planner(false, null, 1);
            fresh.onInstances(Fixture.engines(6), 0);
            fresh.onKvEvents(cachedEvents("e" + i, "m|1", before), 0);
            assertThat(Fixture.send(fresh, Fixture.review(7, 0), 0, 0)
                            .instance()
                            .id())
                    .isEqualTo("e" + i);
        }
    }

    @Test
    void routersAgreeOnTheEngineOfAPromptThatNoEngineCaches() {
        FleetPlanner other = Fixture.planner(false, null, 1);
        List<Instance> reversed = new ArrayList<>(Fixture.engines(6));
        Collections.reverse(reversed);
        Set<String> used = new HashSet<>();
        for (int topic = 0; topic < 40; topic++) {
            planner.onInstances(Fixture.engines(6), 0);
            other.onInstances(reversed, 0);
            long now = topic * 5 * SECOND;
            Placement.Send chosen = Fixture.serve(planner, Fixture.review(topic, now), now, 400 * MILLI);
            Placement.Send chosenByOther = Fixture.serve(other, Fixture.review(topic, now), now, 400 * MILLI);
            assertThat(chosenByOther.instance()).isEqualTo(chosen.instance());
            used.add(chosen.instance().id());
        }
        assertThat(used).hasSize(6);
    }

    @Test
    void theLossOfAnEngineReassignsOnlyItsOwnPrompts() {
        FleetPlanner smaller = Fixture.planner(false, null, 1);
        smaller.onInstances(Fixture.engines(5), 0);
        planner.onInstances(Fixture.engines(6), 0);
        for (int topic = 0; topic < 60; topic++) {
            long now = topic * 5 * SECOND;
            String chosen = idOf(Fixture.serve(planner, Fixture.review(topic, now), now, 400 * MILLI));
            String chosenByOther = idOf(Fixture.serve(smaller, Fixture.review(topic, now), now, 400 * MILLI));
            assertThat(chosen).isIn(chosenByOther, "e5");
        }
    }

    @Test
    void aHotPromptIsSpreadBeforeItsEngineIsOverloaded() {
        planner.onInstances(Fixture.engines(6), 0);
        Map<String, Integer> sent = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            Placement.Send send = Fixture.send(planner, Fixture.review(1, 0), 0, i * 10 * MILLI);
            sent.merge(send.instance().id(), 1, Integer::sum);
        }
        assertThat(sent).hasSize(6);
        assertThat(sent.values()).allMatch(count -> count <= 20);
    }

    @Test
    void loadingDrainingAndGoneInstancesReceiveNothing() {
        List<Instance> instances = List.of(
                Fixture.engine("ready", 1),
                Fixture.instance("leaving", "pool", 128, InstanceState.DRAINING, List.of()),
                Fixture.instance("loading", "pool", 128, InstanceState.LOADING, List.of()),
                Fixture.instance("gone", "pool", 128, InstanceState.GONE, List.of()));
        planner.onInstances(instances, 0);
        for (int i = 0; i < 30; i++) {
            assertThat(Fixture.send(planner, Fixture.review(i, 0), 0, 0)
                            .instance()
                            .id())
                    .isEqualTo("ready");
        }
        planner.onInstances(instances.subList(1, 4), 0);
        assertThat(planner.plan(Fixture.review(1, 0), 0, 0)).isInstanceOf(Placement.Reject.class);
    }

    @Test
    void anUnreachableInstanceIsEjectedAndTriedAgainAfterTheBackoff() {
        planner.onInstances(Fixture.servers(3), 0);
        RouteRequest request = Fixture.lookup(0);
        Placement.Send unreachable = Fixture.send(planner, request, 0, 0);
        planner.onEnded(request, unreachable, AttemptOutcome.NOT_CONNECTED, null, MILLI);
        Placement.Send next = Fixture.send(planner, request, 1, MILLI);
        assertThat(next.instance()).isNotEqualTo(unreachable.instance());
        assertThat(idsOf(20, 2 * MILLI)).doesNotContain(unreachable.instance().id());
        assertThat(idsOf(20, 2 * SECOND)).contains(unreachable.instance().id());
    }

    private static String idOf(Placement.Send send) {
        return send.instance().id();
    }

    private Set<String> idsOf(int requests, long now) {
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < requests; i++) {
            RouteRequest request = Fixture.lookup(now);
            Placement.Send send = Fixture.send(planner, request, 0, now);
            ids.add(send.instance().id());
            planner.onEnded(request, send, AttemptOutcome.ANSWERED, null, now + 30 * MILLI);
        }
        return ids;
    }

    @Test
    void ejectionRemovesHalfOfAServiceAtMost() {
        planner.onInstances(Fixture.servers(4), 0);
        for (int i = 0; i < 60; i++) {
            RouteRequest request = Fixture.lookup(i);
            if (planner.plan(request, 0, i) instanceof Placement.Send send) {
                planner.onSent(request, send, i);
                planner.onEnded(request, send, AttemptOutcome.FAILED, null, i);
            }
        }
        assertThat(idsOf(20, 100)).hasSizeGreaterThanOrEqualTo(2);
    }

    @Test
    void aPossiblyExecutedRequestIsRetriedOnlyIfItsRouteAllowsRepetition() {
        planner.onInstances(Fixture.servers(3), 0);
        RouteRequest nonRepeatable = Fixture.lookup(0);
        planner.onEnded(nonRepeatable, Fixture.send(planner, nonRepeatable, 0, 0), AttemptOutcome.BROKEN, null, MILLI);
        assertThat(planner.plan(nonRepeatable, 1, MILLI)).isInstanceOf(Placement.Reject.class);
        RouteRequest repeatable = Fixture.request(Fixture.QUERY, null, List.of(), 0);
        Set<String> ids = new HashSet<>();
        for (int attempt = 0; attempt < 3; attempt++) {
            Placement.Send send = Fixture.send(planner, repeatable, attempt, 0);
            ids.add(send.instance().id());
            planner.onEnded(repeatable, send, AttemptOutcome.BROKEN, null, MILLI);
        }
        assertThat(ids).hasSize(3);
        assertThat(planner.plan(repeatable, 3, MILLI)).isInstanceOf(Placement.Reject.class);
    }

    @Test
    void rejectedAttemptsAreRetriedWithinTheirBoundAndTheBudget() {
        planner.onInstances(Fixture.servers(5), 0);
        RouteRequest request = Fixture.lookup(0);
        int sends = 0;
        while (planner.plan(request, sends, 0) instanceof Placement.Send send) {
            planner.onSent(request, send, 0);
            planner.onEnded(request, send, AttemptOutcome.REJECTED, new ServerLoad(6, 3, 6), 0);
            sends++;
        }
        assertThat(sends).isBetween(2, 3);
    }

    @Test
    void plainRequestsSpreadEvenly() {
        planner.onInstances(Fixture.servers(3), 0);
        Map<String, Integer> sent = new HashMap<>();
        for (int i = 0; i < 18; i++) {
            sent.merge(Fixture.send(planner, Fixture.lookup(0), 0, 0).instance().id(), 1, Integer::sum);
        }
        assertThat(sent.values()).containsExactly(6, 6, 6);
    }

    @Test
    void aServerThatReportsAQueueIsAvoided() {
        planner.onInstances(Fixture.servers(3), 0);
        RouteRequest request = Fixture.lookup(0);
        Placement.Send busy = Fixture.send(planner, request, 0, 0);
        planner.onEnded(request, busy, AttemptOutcome.ANSWERED, new ServerLoad(6, 4, 6), 30 * MILLI);
        for (int i = 0; i < 6; i++) {
            assertThat(Fixture.send(planner, Fixture.lookup(0), 0, 31 * MILLI).instance())
                    .isNotEqualTo(busy.instance());
        }
    }

    @Test
    void segmentsThatNoEngineCachesAreFetchedFromAStore() {
        FleetPlanner plannerWithStore = Fixture.planner(true, null, 1);
        plannerWithStore.onInstances(Fixture.engines(4), 0);
        assertThat(Fixture.send(plannerWithStore, Fixture.review(2, 0), 0, 0).kvFetch())
                .isNull();
        plannerWithStore.onKvEvents(cachedEvents("store", "m|1", Fixture.review(1, 0)), 0);
        Placement.Send send = Fixture.send(plannerWithStore, Fixture.review(1, 0), 0, 5 * SECOND);
        assertThat(send.kvFetch()).isEqualTo(Fixture.STORE);
        assertThat(send.kvSave()).isNull();
    }

    @Test
    void segmentsOfAnOverloadedEngineAreFetchedByAnother() {
        planner.onInstances(Fixture.engines(4), 0);
        planner.onKvEvents(cachedEvents("e0", "m|1", Fixture.review(1, 0)), 0);
        Placement.Send send;
        do {
            send = Fixture.send(planner, Fixture.review(1, 0), 0, 0);
        } while (send.instance().id().equals("e0"));
        assertThat(send.kvFetch()).isEqualTo("e0:80");
    }

    @Test
    void sharedSegmentsAreSavedOnceWhenTheyAreFirstPrefilled() {
        FleetPlanner plannerWithStore = Fixture.planner(true, null, 1);
        plannerWithStore.onInstances(Fixture.engines(4), 0);
        assertThat(Fixture.serve(plannerWithStore, Fixture.review(1, 0), 0, 300 * MILLI)
                        .kvSave())
                .isEqualTo(Fixture.STORE);
        assertThat(Fixture.serve(plannerWithStore, Fixture.review(1, 0), SECOND, 300 * MILLI)
                        .kvSave())
                .isNull();
        assertThat(Fixture.serve(plannerWithStore, Fixture.review(1, 0), 2 * SECOND, 300 * MILLI)
                        .kvSave())
                .isNull();
    }

    @Test
    void isolatedTenantsAndWeightsVersionsHaveSeparateSalts() {
        Tenant isolated = new Tenant("w", List.of(), 3, true);
        FleetPlanner plannerWithIsolatedTenant = Fixture.planner(false, List.of(isolated), 1);
        plannerWithIsolatedTenant.onInstances(List.of(Fixture.engine("e", 4)), 0);
        Placement.Send withoutTenant = Fixture.send(plannerWithIsolatedTenant, Fixture.review(1, 0), 0, 0);
        Placement.Send ofIsolatedTenant = Fixture.send(
                plannerWithIsolatedTenant,
                Fixture.request(Fixture.REVIEW, isolated, Fixture.promptSegments(1), 0),
                0,
                0);
        assertThat(withoutTenant.cacheSalt()).isEqualTo("m|4");
        assertThat(withoutTenant.expectVersion()).isEqualTo(4);
        assertThat(withoutTenant.priority()).isZero();
        assertThat(ofIsolatedTenant.cacheSalt()).isEqualTo("m|4|w");
        assertThat(ofIsolatedTenant.priority()).isEqualTo(3);
        plannerWithIsolatedTenant.onWeightsVersion("e", MODEL, 5, 0);
        assertThat(Fixture.send(plannerWithIsolatedTenant, Fixture.review(1, 0), 0, 0)
                        .cacheSalt())
                .isEqualTo("m|5");
    }

    @Test
    void aMisdirectionByNewWeightsCorrectsTheVersionAndIsNoFailure() {
        planner.onInstances(List.of(Fixture.engine("e", 1)), 0);
        RouteRequest request = Fixture.review(1, 0);
        Placement.Send sentToOldWeights = Fixture.send(planner, request, 0, 0);
        planner.onWeightsVersion("e", MODEL, 2, MILLI);
        planner.onEnded(request, sentToOldWeights, AttemptOutcome.MISDIRECTED, null, MILLI);
        assertThat(Fixture.send(planner, request, 1, MILLI).expectVersion()).isEqualTo(2);
    }

    @Test
    void enginesWithOldWeightsReceiveNothingAfterTheGracePeriod() {
        planner.onInstances(List.of(Fixture.engine("old", 1), Fixture.engine("new", 2)), 0);
        Set<String> early = new HashSet<>();
        Set<String> late = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            early.add(Fixture.serve(planner, Fixture.review(i, 0), SECOND, 100 * MILLI)
                    .instance()
                    .id());
            late.add(Fixture.serve(planner, Fixture.review(i, 0), 6 * SECOND, 100 * MILLI)
                    .instance()
                    .id());
        }
        assertThat(early).contains("old", "new");
        assertThat(late).containsExactly("new");
    }

    /** Guards against requests on long superseded weights while newer versions keep coming (VERSION). */
    @Test
    void theGracePeriodOfOldWeightsIsNotExtendedByFurtherVersions() {
        Set<String> late = new HashSet<>();
        for (int version = 2; version <= 5; version++) {
            long nowNanos = (version - 2) * 2 * SECOND;
            planner.onInstances(
                    List.of(
                            Fixture.engine("old", 1),
                            Fixture.engine("middle", Math.min(version, 3)),
                            Fixture.engine("new", version)),
                    nowNanos);
        }
        for (int i = 0; i < 60; i++) {
            late.add(Fixture.serve(planner, Fixture.review(i, 0), 6 * SECOND, 100 * MILLI)
                    .instance()
                    .id());
        }
        assertThat(late).containsExactlyInAnyOrder("middle", "new");
    }

    @Test
    void oldWeightsServeWhereNoInstanceHasTheNewOnes() {
        planner.onInstances(List.of(Fixture.engine("old", 1), Fixture.engine("new", 2)), 0);
        planner.onInstances(List.of(Fixture.engine("old", 1)), SECOND);
        assertThat(idOf(Fixture.send(planner, Fixture.review(1, 20 * SECOND), 0, 20 * SECOND)))
                .isEqualTo("old");
    }

    @Test
    void plainRequestsBeyondAllSlotsAreRejectedAtOnce() {
        planner.onInstances(Fixture.servers(2), 0);
        int sent = 0;
        while (planner.plan(Fixture.lookup(0), 0, 0) instanceof Placement.Send send) {
            planner.onSent(Fixture.lookup(0), send, 0);
            sent++;
        }
        assertThat(sent).isBetween(12, 80);
        assertThat(((Placement.Reject) planner.plan(Fixture.lookup(0), 0, 0)).retryAfterMillis())
                .isBetween(50L, 2_000L);
    }

    @Test
    void aRequestStaysWithTheServiceThatItsHashPicked() {
        planner.onInstances(List.of(Fixture.server("s"), Fixture.engine("e", 1)), 0);
        List<Split> split = List.of(new Split("ledger", 90), new Split("pool", 10));
        var route = Fixture.route("split", RouteType.IDEMPOTENT, null, split, 3, false, 150, 0);
        int ledger = 0;
        for (int i = 0; i < 1_000; i++) {
            RouteRequest request = Fixture.request(route, null, List.of(), 0);
            String first =
                    ((Placement.Send) planner.plan(request, 0, 0)).instance().id();
            assertThat(((Placement.Send) planner.plan(request, 0, 0)).instance().id())
                    .isEqualTo(first);
            ledger += first.equals("s") ? 1 : 0;
        }
        assertThat(ledger).isBetween(870, 930);
    }

    @Test
    void aRestartedInstanceStartsWithFreshHealth() {
        planner.onInstances(List.of(Fixture.server("a")), 0);
        RouteRequest request = Fixture.lookup(0);
        planner.onEnded(request, Fixture.send(planner, request, 0, 0), AttemptOutcome.NOT_CONNECTED, null, 0);
        planner.onInstances(
                List.of(
                        Fixture.server("b"),
                        Fixture.instance("a", "ledger", 6, InstanceState.GONE, List.<ServedModel>of())),
                0);
        assertThat(idsOf(5, MILLI)).containsExactly("b");
    }
}
