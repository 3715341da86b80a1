package burlarch.routing.planner;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.planner.VirtualFleet.Kind;
import burlarch.routing.planner.VirtualFleet.RequestCounts;
import org.junit.jupiter.api.Test;

/** Several routers and six engines in virtual time, with prompts that have large or small shared segments. */
class FleetTrafficTest {
    private static final int TENANTS = 8;
    /** Requests whose shared segments hardly ever repeat, so that nearly all miss the cache. */
    private static final Kind UNCACHED = new Kind(Fixture.REVIEW, 2_520, 3_780, 2_890, 51, 100_000);

    private static VirtualFleet runMixedTraffic(int routers, double reviewsPerSecond, long seed) {
        VirtualFleet fleet = new VirtualFleet(routers, 6, TENANTS, seed);
        fleet.traffic(VirtualFleet.REVIEW, reviewsPerSecond, 0, 40);
        fleet.traffic(VirtualFleet.LETTER, 1.5 * reviewsPerSecond, 0, 40);
        fleet.run();
        return fleet;
    }

    private static int withinTarget(VirtualFleet fleet) {
        return fleet.counts("review").withinTarget + fleet.counts("letter").withinTarget;
    }

    @Test
    void moderateTrafficMeetsItsTargetAndNothingIsRejected() {
        for (int seed = 1; seed <= 5; seed++) {
            VirtualFleet fleet = runMixedTraffic(4, 9, seed);
            for (RequestCounts counts : fleet.countsByName.values()) {
                assertThat(counts.rejections).isZero();
                assertThat(counts.withinTargetFraction()).isGreaterThan(0.95);
            }
        }
    }

    @Test
    void sharedSegmentsAreSeldomPrefilledWhileTheyFitInMemory() {
        VirtualFleet fleet = runMixedTraffic(4, 9, 1);
        long shared = fleet.engines.stream()
                .mapToLong(engine -> engine.sharedTokensPrefilled)
                .sum();
        assertThat(shared).isLessThan(fleet.counts("review").requested * 6_300L / 2);
    }

    @Test
    void overloadDoesNotMakeAllRequestsMissTheirTarget() {
        int atCapacity = withinTarget(runMixedTraffic(7, 30, 1));
        assertThat(withinTarget(runMixedTraffic(7, 60, 1))).isGreaterThan(atCapacity * 7 / 10);
    }

    @Test
    void aFloodOfOneTenantLeavesTheOthersServed() {
        for (int seed = 1; seed <= 3; seed++) {
            VirtualFleet fleet = new VirtualFleet(4, 6, TENANTS, seed);
            fleet.traffic(VirtualFleet.REVIEW, 9, 0, 60);
            fleet.traffic(UNCACHED, 0, 120, 10, 50);
            fleet.run();
            int requested = 0;
            int served = 0;
            for (int i = 1; i < TENANTS; i++) {
                requested += fleet.counts("t" + i).requested;
                served += fleet.counts("t" + i).served;
            }
            RequestCounts flooding = fleet.counts("t0");
            assertThat(served).isGreaterThan(requested * 3 / 4);
            assertThat(flooding.served).isLessThan(flooding.requested / 4);
        }
    }
}
