package burlarch.routing.planner;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.planner.VirtualFleet.Kind;
import burlarch.routing.planner.VirtualFleet.Tally;
import org.junit.jupiter.api.Test;

/** Whole fleets in virtual time: some routers, six engines, dossiers and letters. */
class FleetTrafficTest {
    private static final int TENANTS = 8;
    /** Dossiers of which hardly one is asked for twice. */
    private static final Kind COLD = new Kind(Fixture.REVIEW, 2_520, 3_780, 2_890, 51, 100_000);

    private static VirtualFleet mixed(int routers, double reviews, long seed) {
        VirtualFleet fleet = new VirtualFleet(routers, 6, TENANTS, seed);
        fleet.traffic(VirtualFleet.REVIEW, reviews, 0, 40);
        fleet.traffic(VirtualFleet.LETTER, 1.5 * reviews, 0, 40);
        fleet.run();
        return fleet;
    }

    private static int inAim(VirtualFleet fleet) {
        return fleet.tally("review").inAim + fleet.tally("letter").inAim;
    }

    @Test
    void calmTrafficIsServedInTimeAndNothingIsRefused() {
        for (int seed = 1; seed <= 5; seed++) {
            VirtualFleet fleet = mixed(4, 9, seed);
            for (Tally tally : fleet.tallies.values()) {
                assertThat(tally.refusals).isZero();
                assertThat(tally.inAimShare()).isGreaterThan(0.95);
            }
        }
    }

    @Test
    void sharedPartsAreReadSeldomWhileTheyFitInMemory() {
        VirtualFleet fleet = mixed(4, 9, 1);
        long shared =
                fleet.engines.stream().mapToLong(engine -> engine.sharedRead).sum();
        assertThat(shared).isLessThan(fleet.tally("review").asked * 6_300L / 2);
    }

    @Test
    void moreThanTheEnginesBearDoesNotMakeAllLate() {
        int atCapacity = inAim(mixed(7, 30, 1));
        assertThat(inAim(mixed(7, 60, 1))).isGreaterThan(atCapacity * 7 / 10);
    }

    @Test
    void aFloodOfOneTenantLeavesTheOthersServed() {
        for (int seed = 1; seed <= 3; seed++) {
            VirtualFleet fleet = new VirtualFleet(4, 6, TENANTS, seed);
            fleet.traffic(VirtualFleet.REVIEW, 9, 0, 60);
            fleet.traffic(COLD, 0, 120, 10, 50);
            fleet.run();
            int asked = 0;
            int served = 0;
            for (int i = 1; i < TENANTS; i++) {
                asked += fleet.tally("t" + i).asked;
                served += fleet.tally("t" + i).served;
            }
            Tally flooding = fleet.tally("t0");
            assertThat(served).isGreaterThan(asked * 3 / 4);
            assertThat(flooding.served).isLessThan(flooding.asked / 4);
        }
    }
}
