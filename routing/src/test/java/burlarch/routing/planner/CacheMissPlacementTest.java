package burlarch.routing.planner;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.Configuration.Tenant;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouteRequest.PromptSegment;
import burlarch.routing.instance.InstanceSpeed;
import burlarch.routing.instance.TrackedInstance;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CacheMissPlacementTest {
    private static final Tenant TENANT = new Tenant("t", List.of("k"), null, false);
    private static final int LEADING_TOKENS = 2_500;
    private static final int TOPIC_TOKENS = 3_800;

    private final CacheMissPlacement placement = new CacheMissPlacement();

    private static List<TrackedInstance> engines(int count) {
        List<TrackedInstance> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(new TrackedInstance(Fixture.engine("e" + i, "z0", 16), new InstanceSpeed()));
        }
        return engines;
    }

    private static RouteRequest request(long topic) {
        return new RouteRequest(
                "r",
                Fixture.REVIEW,
                TENANT,
                Fixture.MODEL,
                LEADING_TOKENS + TOPIC_TOKENS + 500,
                20,
                List.of(
                        new PromptSegment(11, LEADING_TOKENS),
                        new PromptSegment(topic, TOPIC_TOKENS),
                        new PromptSegment(99, 500)),
                false,
                0,
                8 * Fixture.SECOND);
    }

    /** Returns the engines that routers with different views of the engines' loads choose for the same segment. */
    private Set<Integer> choices(RouteRequest request, int liveRouters) {
        List<TrackedInstance> engines = engines(20);
        Random random = new Random(1);
        Set<Integer> chosen = new HashSet<>();
        for (int router = 0; router < 50; router++) {
            double[] costs =
                    random.doubles(engines.size(), 0, 100 * Fixture.MILLI).toArray();
            chosen.add(placement.choose(request, 0, engines, costs, liveRouters));
        }
        return chosen;
    }

    @Test
    void fewRoutersBuildOneReplica() {
        assertThat(choices(request(22), 1)).hasSize(1);
        assertThat(choices(request(22), 16)).hasSize(1);
    }

    @Test
    void manyRoutersBuildAReplicaForEachSixteenOfThem() {
        assertThat(choices(request(22), 17)).hasSize(2);
        assertThat(choices(request(22), 84)).hasSize(6);
    }

    @Test
    void theCheapestOfTheReplicasIsChosen() {
        List<TrackedInstance> engines = engines(3);
        double[] costs = {2.0 * Fixture.MILLI, Fixture.MILLI, 3.0 * Fixture.MILLI};
        assertThat(placement.choose(request(22), 0, engines, costs, 1_000)).isEqualTo(1);
    }

    @Test
    void anEngineThatCostsFarMoreIsNeverChosen() {
        List<TrackedInstance> engines = engines(4);
        double[] costs = {0, 2.0 * Fixture.SECOND, 2.0 * Fixture.SECOND, 2.0 * Fixture.SECOND};
        for (long topic = 100; topic < 130; topic++) {
            assertThat(placement.choose(request(topic), 0, engines, costs, 84)).isZero();
        }
    }

    @Test
    void theFirstSegmentThatNoEngineCachesDecides() {
        List<TrackedInstance> engines = engines(20);
        Set<Integer> byTopic = new HashSet<>();
        Set<Integer> byLeading = new HashSet<>();
        for (long topic = 100; topic < 200; topic++) {
            byTopic.add(placement.choose(request(topic), LEADING_TOKENS, engines, new double[20], 10));
            byLeading.add(placement.choose(request(topic), 0, engines, new double[20], 10));
        }
        assertThat(byTopic).hasSizeGreaterThan(15);
        assertThat(byLeading).hasSize(1);
    }
}
