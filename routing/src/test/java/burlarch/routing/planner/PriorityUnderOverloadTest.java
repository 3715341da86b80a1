package burlarch.routing.planner;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.RouteType;
import burlarch.routing.planner.VirtualFleet.Kind;
import burlarch.routing.planner.VirtualFleet.Tally;
import org.junit.jupiter.api.Test;

/**
 * Two kinds of requests alike in all but urgency at six engines that can't bear both. The urgent kind is rare, so that
 * its segments are seldom cached and nearly all of its requests are fetches.
 */
class PriorityUnderOverloadTest {
    /** By how much an urgent kind may be served less often before it is priced. */
    private static final double PRICED_DIFFERENCE = 0.05;

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
            double urgent = servedFraction(fleet.tally("review"));
            double common = servedFraction(fleet.tally("common"));
            assertThat(urgent).isGreaterThan(common - PRICED_DIFFERENCE);
        }
    }

    private static double servedFraction(Tally tally) {
        return (double) tally.served / tally.requested;
    }
}
