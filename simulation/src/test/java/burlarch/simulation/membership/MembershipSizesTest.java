package burlarch.simulation.membership;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.membership.swim.SwimSettings;
import burlarch.simulation.NetworkSettings;
import burlarch.simulation.Simulation;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies loose bounds on convergence, traffic and failure detection at three fleet sizes; {@link MembershipFigures}
 * prints the measured values.
 */
class MembershipSizesTest {
    @ParameterizedTest
    @ValueSource(ints = {10, 100, 300})
    void membersConvergeWithinTrafficBoundsAndDetectFailure(int memberCount) {
        MembershipFleet fleet =
                new MembershipFleet(memberCount, 3, NetworkSettings.defaults(), SwimSettings.defaults());
        Simulation simulation = fleet.simulation();
        fleet.startAll();
        simulation.runFor(10 * Simulation.SECOND);
        assertThat(fleet.hasConverged()).isTrue();

        long messages = fleet.messages();
        long bytes = fleet.bytes();
        simulation.runFor(30 * Simulation.SECOND);
        assertThat(fleet.falseDetections()).isZero();
        assertThat((fleet.messages() - messages) / (30.0 * memberCount)).isLessThan(10);
        assertThat((fleet.bytes() - bytes) / (30.0 * memberCount)).isLessThan(2_000);

        simulation.kill(MembershipFleet.name(memberCount));
        simulation.runFor(15 * Simulation.SECOND);
        assertThat(fleet.countObserversOfDeath(MembershipFleet.name(memberCount)))
                .isEqualTo(memberCount - 1);
        assertThat(fleet.hasConverged()).isTrue();
    }
}
