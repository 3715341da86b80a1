package burlarch.routing.planner;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.RouteType;
import burlarch.routing.RouterPosition;
import burlarch.routing.planner.VirtualFleet.Kind;
import burlarch.routing.planner.VirtualFleet.Layout;
import org.junit.jupiter.api.Test;

/**
 * A fleet in virtual time with about as many routers as engines. Prefix-cache events reach the routers after 0.28 s.
 */
class ManyRoutersTest {
    private static final Route DRAFT = Fixture.route("draft", RouteType.STREAMING, "pool", null, 1, false, 800, 1);
    private static final Route RULING = Fixture.route("ruling", RouteType.STREAMING, "pool", null, 2, true, 500, 0);
    private static final Kind LONG_PROMPT = new Kind(DRAFT, 2_520, 3_780, 2_890, 52, 1_857);
    private static final Kind SHORT_PROMPT = new Kind(RULING, 119, 79, 430, 290, 794);
    private static final Layout LAYOUT = new Layout(3, 84, 98, 16, 72_148, 550_000, 280_000_000L, 8);

    private static VirtualFleet runFleet(boolean subsets, long seed) {
        VirtualFleet fleet = new VirtualFleet(LAYOUT, seed);
        if (!subsets) {
            fleet.routers.forEach(router -> router.onRouterPosition(RouterPosition.ALONE, 0));
        }
        fleet.traffic(LONG_PROMPT, 150, 0, 8);
        fleet.traffic(SHORT_PROMPT, 100, 0, 8);
        fleet.run();
        return fleet;
    }

    /**
     * Returns the fraction of the requests over several seeds whose first event is later than the target or that are
     * not served.
     */
    private static double missedFraction(boolean subsets) {
        int requested = 0;
        int withinTarget = 0;
        for (int seed = 1; seed <= 2; seed++) {
            VirtualFleet fleet = runFleet(subsets, seed);
            requested += fleet.counts("draft").requested + fleet.counts("ruling").requested;
            withinTarget += fleet.counts("draft").withinTarget + fleet.counts("ruling").withinTarget;
        }
        return 1 - (double) withinTarget / requested;
    }

    @Test
    void routersThatShareOutTheEnginesMissTheTargetLessOften() {
        double missedWithSubsets = missedFraction(true);
        double missedWithoutSubsets = missedFraction(false);
        assertThat(missedWithSubsets)
                .as("without subsets %.4f", missedWithoutSubsets)
                .isLessThan(0.8 * missedWithoutSubsets);
    }
}
