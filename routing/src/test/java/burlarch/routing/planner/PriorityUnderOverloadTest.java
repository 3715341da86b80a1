package burlarch.routing.planner;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.RouteType;
import burlarch.routing.planner.VirtualFleet.Kind;
import burlarch.routing.planner.VirtualFleet.RequestCounts;
import org.junit.jupiter.api.Test;

/**
 * Two kinds of requests that differ only in urgency, at six engines that cannot serve all of both. The urgent kind is
 * rare, so its segments are seldom cached and nearly all of its requests are cache misses: without shedding of the
 * common kind, admission control rejects the urgent kind more often.
 */
class PriorityUnderOverloadTest {
    /**
     * Maximum difference by which the served fraction of the urgent kind may be lower; beyond it, a priority inversion
     * is penalized.
     */
    private static final double MAX_SERVED_DIFFERENCE = 0.05;

    private static final Route COMMON_ROUTE =
            Fixture.route("common", RouteType.STREAMING, "pool", null, 2, true, 1_000, 2);
    private static final Kind URGENT = new Kind(Fixture.REVIEW, 2_520, 3_780, 2_890, 51, 70);
    private static final Kind COMMON = new Kind(COMMON_ROUTE, 2_520, 3_780, 2_890, 51, 70);

    @Test
    void aRareUrgentKindIsServedNoLessOftenThanACommonKindBehindIt() {
        for (int seed = 1; seed <= 3; seed++) {
            VirtualFleet fleet = new VirtualFleet(4, 6, 8, seed);
            fleet.traffic(URGENT, 10, 0, 60);
            fleet.traffic(COMMON, 80, 0, 60);
            fleet.run();
            double urgent = servedFraction(fleet.counts("review"));
            double common = servedFraction(fleet.counts("common"));
            assertThat(urgent).isGreaterThan(common - MAX_SERVED_DIFFERENCE);
        }
    }

    private static double servedFraction(RequestCounts counts) {
        return (double) counts.served / counts.requested;
    }
}
