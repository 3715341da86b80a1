package burlarch.routing.planner;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.registry.InstanceState;
import burlarch.routing.PlannerSettings;
import burlarch.routing.RouterPosition;
import burlarch.routing.instance.InstanceSpeed;
import burlarch.routing.instance.TrackedInstance;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class InstanceSubsetsTest {
    private static List<TrackedInstance> engines(int count, String zone, InstanceState state) {
        List<TrackedInstance> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = zone + "-" + state + "-" + i;
            Instance instance = new Instance(
                    id, "pool", id + ":80", zone, "v1", 16, state, 0, List.of(new ServedModel(Fixture.MODEL, 1)), 1);
            engines.add(new TrackedInstance(instance, new InstanceSpeed()));
        }
        return engines;
    }

    private static void assign(List<TrackedInstance> engines, int index, int count) {
        InstanceSubsets subsets = new InstanceSubsets(PlannerSettings.of("z0", Fixture.REGIONS, 0.2, 10, 54, 8_000));
        subsets.onPosition(new RouterPosition(index, count));
        subsets.assign(engines);
    }

    /** Returns for each engine the number of routers of the zone that have it in their own subset. */
    private static Map<String, Integer> firstChoices(int routers, int engineCount) {
        Map<String, Integer> choices = new HashMap<>();
        for (int router = 0; router < routers; router++) {
            List<TrackedInstance> engines = engines(engineCount, "z0", InstanceState.READY);
            assign(engines, router, routers);
            for (TrackedInstance engine : engines) {
                if (engine.subsetDistance() == 0) {
                    choices.merge(engine.id(), 1, Integer::sum);
                }
            }
        }
        return choices;
    }

    @Test
    void aRouterThatIsAlonePrefersNoEngine() {
        List<TrackedInstance> engines = engines(7, "z0", InstanceState.READY);
        assign(engines, 0, 1);
        assertThat(engines)
                .allSatisfy(engine -> assertThat(engine.subsetDistance()).isZero());
    }

    @Test
    void eachEngineIsTheFirstChoiceOfEquallyManyRouters() {
        assertThat(firstChoices(8, 32)).hasSize(32);
        assertThat(firstChoices(8, 32).values()).containsOnly(1);
        assertThat(firstChoices(12, 4)).hasSize(4);
        assertThat(firstChoices(12, 4).values()).containsOnly(3);
        assertThat(firstChoices(28, 33)).hasSizeGreaterThanOrEqualTo(28);
        assertThat(firstChoices(28, 33).values()).allMatch(routers -> routers <= 2);
    }

    @Test
    void distancesGrowAroundTheRing() {
        List<TrackedInstance> engines = engines(12, "z0", InstanceState.READY);
        assign(engines, 2, 4);
        List<Integer> distances =
                engines.stream().map(TrackedInstance::subsetDistance).sorted().toList();
        assertThat(distances).containsExactly(0, 0, 0, 1, 1, 1, 2, 2, 2, 3, 3, 3);
    }

    @Test
    void enginesOfOtherRegionsAreFartherThanAllOwnSubsets() {
        List<TrackedInstance> engines = new ArrayList<>(engines(6, "z0", InstanceState.READY));
        engines.addAll(engines(2, "far", InstanceState.READY));
        assign(engines, 1, 3);
        assertThat(engines.subList(0, 6)).allMatch(engine -> engine.subsetDistance() < 3);
        assertThat(engines.subList(6, 8)).allMatch(engine -> engine.subsetDistance() == 3);
    }

    @Test
    void anEngineThatLeavesTakesNoPositionOnTheRing() {
        List<TrackedInstance> engines = new ArrayList<>(engines(4, "z0", InstanceState.READY));
        engines.addAll(engines(4, "z0", InstanceState.DRAINING));
        assign(engines, 0, 4);
        assertThat(engines.subList(0, 4).stream().map(TrackedInstance::subsetDistance))
                .containsExactlyInAnyOrder(0, 1, 2, 3);
    }

    @Test
    void assigningNoEnginesDoesNotFail() {
        assign(List.of(), 2, 5);
    }
}
