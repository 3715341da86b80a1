package burlarch.simulation.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.check.Rule;
import burlarch.simulation.coordination.fleet.CoordinationFleet;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.simulation.coordination.plan.FleetPlan;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Verifies how many bytes one change to a 200 KB configuration costs on the wire, with the real controllers and the
 * real connections of routers. Guards against changes in quick succession sending the whole configuration each time.
 */
class ChangeTrafficTest {
    private static final int ROUTES = 350;
    private static final int CHANGES = 50;
    private static final long MAX_BYTES_PER_ROUTER = 1_000;
    /** All register messages for one change: at most the configuration's size of 200 KB for each controller. */
    private static final long MAX_REGISTER_BYTES_PER_CONTROLLER = 200_000;

    @ParameterizedTest
    @CsvSource({"3, 1", "3, 10", "3, 66", "6, 1", "6, 10", "6, 66"})
    void bytesPerChangeStayBelowLimitsForRoutersAndControllers(int controllers, int routers) {
        FleetPlan plan = new FleetPlan(7, controllers, 0, routers, 0, 0, 0, 1, 0);
        CoordinationFleet fleet = new CoordinationFleet(plan, ComponentOverrides.NONE);
        Simulation simulation = fleet.simulation();
        List<String> seeds = plan.seedAddresses();
        simulation.addMachine(
                "operator",
                "10.0.3.1:7340",
                context -> new SteadyOperator(context, seeds, ROUTES, Simulation.SECOND / 10));
        ChangeTraffic traffic = new ChangeTraffic();
        simulation.setMessageObserver(traffic);
        fleet.startAll();
        simulation.runUntil(10 * Simulation.SECOND);
        SteadyOperator operator =
                simulation.node("operator", SteadyOperator.class).orElseThrow();
        changeTo(simulation, operator, 2);
        traffic.reset();
        changeTo(simulation, operator, 2 + CHANGES);

        long routerBytes = traffic.configurationBytes() / CHANGES;
        long registerBytes = traffic.registerBytes() / CHANGES;
        String figures = "to routers " + routerBytes + ", register " + registerBytes + " bytes a change; " + traffic;
        assertThat(routerBytes / routers).as(figures).isLessThan(MAX_BYTES_PER_ROUTER);
        assertThat(registerBytes / controllers).as(figures).isLessThan(MAX_REGISTER_BYTES_PER_CONTROLLER);
        assertThat(fleet.checkers().violations().violations())
                .noneMatch(violation -> violation.rule() == Rule.ROUTER_APPLIES_COMMITTED
                        || violation.rule() == Rule.ROUTER_VERSION_RISES
                        || violation.rule() == Rule.NO_UNEXPECTED_EXCEPTION);
    }

    private static void changeTo(Simulation simulation, SteadyOperator operator, long version) {
        simulation.schedule(simulation.now(), () -> operator.changeTo(version, simulation.now()));
        for (int i = 0; i < 200 && operator.version() < version; i++) {
            simulation.runFor(Simulation.SECOND);
        }
        assertThat(operator.version()).isEqualTo(version);
        simulation.runFor(Simulation.SECOND);
    }
}
