package burlarch.coordination.budget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class RouterCountEstimateTest {
    private static final BudgetSettings SETTINGS = new BudgetSettings(10_000, 3_000, 1_000, 0.2, 8, 64);

    private final RouterCountEstimate estimate = RouterCountEstimate.inRunningFleet(SETTINGS, 0);

    private void contactUntil(long end) {
        for (long now = 0; now <= end; now += 500) {
            estimate.onQuorumContact(now);
        }
    }

    @Test
    void countRisesAtOnceAndFallsAfterTheRetentionTime() {
        estimate.onRouterAppeared(1, 0);
        estimate.onRouterAppeared(2, 0);
        assertThat(estimate.count(0)).isEqualTo(3);
        estimate.onRouterDisappeared(2, 100);
        assertThat(estimate.count(14_099)).isEqualTo(3);
        assertThat(estimate.count(14_100)).isEqualTo(2);
    }

    @Test
    void returningRouterIsCountedOnce() {
        estimate.onRouterAppeared(1, 0);
        estimate.onRouterDisappeared(1, 100);
        estimate.onRouterAppeared(1, 200);
        assertThat(estimate.count(90_000)).isEqualTo(2);
    }

    @Test
    void newRouterUsesAPartOfTheReserveUntilEstablished() {
        assertThat(estimate.budgetFraction(0)).isEqualTo(0.2 / 64, within(1e-9));
        estimate.onQuorumContact(0);
        estimate.onReportedCount(20);
        assertThat(estimate.budgetFraction(0)).isEqualTo(0.2 / 20, within(1e-9));
        estimate.onRouterAppeared(1, 0);
        contactUntil(14_000);
        assertThat(estimate.budgetFraction(13_999)).isEqualTo(0.2 / 20, within(1e-9));
        assertThat(estimate.budgetFraction(14_000)).isEqualTo(0.4, within(1e-9));
    }

    @Test
    void routerIsEstablishedAfterTwoDisseminationTimesAtTheFirstFleetStart() {
        RouterCountEstimate first = RouterCountEstimate.atFirstFleetStart(SETTINGS, 0);
        first.onQuorumContact(500);
        first.onRouterAppeared(1, 600);
        assertThat(first.isEstablished(2_499)).isFalse();
        assertThat(first.budgetFraction(2_500)).isEqualTo(0.4, within(1e-9));
        RouterCountEstimate late = RouterCountEstimate.atFirstFleetStart(SETTINGS, 0);
        late.onQuorumContact(1_000);
        assertThat(late.isEstablished(3_999)).isFalse();
    }

    @Test
    void partitionedRouterUsesTheReserveAfterTheContactTimeout() {
        estimate.onRouterAppeared(1, 0);
        contactUntil(15_000);
        assertThat(estimate.budgetFraction(17_999)).isEqualTo(0.4, within(1e-9));
        assertThat(estimate.budgetFraction(18_000)).isEqualTo(0.2 / 8, within(1e-9));
        estimate.onQuorumContact(19_000);
        assertThat(estimate.budgetFraction(19_000)).isEqualTo(0.2 / 8, within(1e-9));
    }

    /**
     * Up to eight routers start, end and are partitioned at random; the fractions that they may use are summed over
     * each window.
     */
    @Test
    void fractionsNeverSumToMoreThanTheWhole() {
        for (int seed = 0; seed < 100; seed++) {
            assertThat(new FleetSimulation(seed).largestSum()).isLessThanOrEqualTo(1 + 1e-9);
        }
    }

    /**
     * A simulation in which each router uses, in each window, the largest fraction that it had at any time in the
     * window.
     */
    private static final class FleetSimulation {
        private static final long STEP_NANOS = 250;
        private static final int MAX_ROUTERS = 8;

        private static final class Router {
            final RouterCountEstimate estimate;
            final Map<Long, Boolean> seen = new HashMap<>();
            long partitionedUntil;
            final long[] usedAtNanos = new long[4_000];
            final double[] fractions = new double[4_000];
            int useCount;

            Router(long now) {
                estimate = now == 0
                        ? RouterCountEstimate.atFirstFleetStart(SETTINGS, now)
                        : RouterCountEstimate.inRunningFleet(SETTINGS, now);
            }
        }

        private final Random random;
        private final Map<Long, Router> live = new HashMap<>();
        private final List<Router> allRouters = new ArrayList<>();
        private long nextProcess;

        FleetSimulation(int seed) {
            random = new Random(seed);
            for (int i = random.nextInt(MAX_ROUTERS); i >= 0; i--) {
                start(0);
            }
        }

        private void start(long now) {
            Router router = new Router(now);
            live.put(nextProcess++, router);
            allRouters.add(router);
        }

        double largestSum() {
            double largest = 0;
            for (long now = STEP_NANOS; now < 120_000; now += STEP_NANOS) {
                startStopAndPartition(now);
                for (Map.Entry<Long, Router> entry : live.entrySet()) {
                    observe(entry.getKey(), entry.getValue(), now);
                }
                largest = Math.max(largest, sum(now));
            }
            return largest;
        }

        private void startStopAndPartition(long now) {
            if (live.size() < MAX_ROUTERS && random.nextInt(40) == 0) {
                start(now);
            }
            live.values().removeIf(router -> live.size() > 1 && random.nextInt(400) == 0);
            for (Router router : live.values()) {
                if (now >= router.partitionedUntil && random.nextInt(200) == 0) {
                    router.partitionedUntil = now + random.nextInt(40_000);
                }
            }
        }

        private void observe(long process, Router router, long now) {
            if (now >= router.partitionedUntil) {
                router.estimate.onQuorumContact(now);
                router.estimate.onReportedCount(live.size());
                for (Map.Entry<Long, Router> other : live.entrySet()) {
                    boolean visible = now >= other.getValue().partitionedUntil && other.getKey() != process;
                    if (visible && router.seen.put(other.getKey(), true) != Boolean.TRUE) {
                        router.estimate.onRouterAppeared(other.getKey(), now);
                    }
                }
                router.seen.replaceAll((key, seen) -> stillSeen(router, key, seen, now));
            }
            router.usedAtNanos[router.useCount] = now;
            router.fractions[router.useCount++] = router.estimate.budgetFraction(now);
        }

        private boolean stillSeen(Router router, long key, boolean seen, long now) {
            Router other = live.get(key);
            boolean visible = other != null && now >= other.partitionedUntil;
            if (seen && !visible) {
                router.estimate.onRouterDisappeared(key, now);
            }
            return visible;
        }

        private double sum(long now) {
            double sum = 0;
            for (Router router : allRouters) {
                double largestFraction = 0;
                for (int i = router.useCount - 1; i >= 0 && now - router.usedAtNanos[i] < SETTINGS.windowNanos(); i--) {
                    largestFraction = Math.max(largestFraction, router.fractions[i]);
                }
                sum += largestFraction;
            }
            return sum;
        }
    }
}
