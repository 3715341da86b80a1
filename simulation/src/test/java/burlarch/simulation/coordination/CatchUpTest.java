package burlarch.simulation.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.check.Rule;
import burlarch.simulation.coordination.fleet.CoordinationFleet;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.simulation.coordination.node.ControllerNode;
import burlarch.simulation.coordination.node.RouterNode;
import burlarch.simulation.coordination.plan.FleetNames;
import burlarch.simulation.coordination.plan.FleetPlan;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies that members that missed changes to a 200 KB configuration while partitioned or stopped learn the newest
 * version within a second of being connected, however many changes they missed, by one exchange with each peer.
 */
class CatchUpTest {
    private static final int ROUTES = 350;
    private static final int FIRST_VERSION = 3;
    private static final FleetPlan PLAN = FleetPlan.parse(
            "fleet seed=11 controllers=5 spares=0 routers=3 operators=0 engines=0 tolerance=2 seconds=0");
    private static final String PARTITIONED = FleetNames.controller(3);
    private static final String STOPPED = FleetNames.controller(4);
    private static final String PARTITIONED_ROUTER = "router-1";
    private static final String STOPPED_ROUTER = "router-2";
    private static final long STEP_NANOS = 10 * Simulation.MILLISECOND;
    /** One second at most until a failed connection is retried, and one second for the exchange. */
    private static final long MAX_CATCH_UP_NANOS = 2 * Simulation.SECOND;
    /** Two members fetch, each over at most two connections with each of four peers. */
    private static final int MAX_FETCHES = 16;

    private final CoordinationFleet fleet = new CoordinationFleet(PLAN, ComponentOverrides.NONE);
    private final Simulation simulation = fleet.simulation();
    private final ChangeTraffic traffic = new ChangeTraffic();

    @ParameterizedTest
    @ValueSource(ints = {1, 100, 600})
    void membersThatMissedChangesCatchUpWithinMaxCatchUpTime(int missedChanges) {
        addOperator("operator", 1, 2, 5);
        addOperator("reader", 3);
        simulation.setMessageObserver(traffic);
        fleet.startAll();
        simulation.runUntil(12 * Simulation.SECOND);
        changeTo(FIRST_VERSION);
        partitionAndStopMembers();
        int newestVersion = FIRST_VERSION + missedChanges;
        changeTo(newestVersion);
        assertThat(router(PARTITIONED_ROUTER).version()).as("cut off").isEqualTo(FIRST_VERSION);

        traffic.reset();
        healAndRestartMembers();
        long reconnectedAtNanos = simulation.now();
        while (!caughtUp(newestVersion) && simulation.now() < reconnectedAtNanos + 5 * MAX_CATCH_UP_NANOS) {
            simulation.runFor(STEP_NANOS);
        }
        assertThat(simulation.now() - reconnectedAtNanos).as("time to catch up").isLessThan(MAX_CATCH_UP_NANOS);
        assertThat(traffic.fetches()).as("exchanges").isLessThanOrEqualTo(MAX_FETCHES);
        simulation.runFor(MAX_CATCH_UP_NANOS);
        assertThat(operator("reader").readVersion())
                .as("read where changes were missed")
                .isEqualTo(newestVersion);
        assertThat(fleet.checkers().violations().violations())
                .noneMatch(violation -> violation.rule() == Rule.ROUTER_APPLIES_COMMITTED
                        || violation.rule() == Rule.ROUTER_VERSION_RISES
                        || violation.rule() == Rule.NO_UNEXPECTED_EXCEPTION);
    }

    private void addOperator(String name, int... controllers) {
        List<String> addresses = Arrays.stream(controllers)
                .mapToObj(FleetNames::controllerAddress)
                .toList();
        simulation.addMachine(
                name,
                "10.0.3." + simulation.machineNames().size() + ":7340",
                context -> new SteadyOperator(context, addresses, ROUTES, STEP_NANOS));
    }

    private SteadyOperator operator(String name) {
        return simulation.node(name, SteadyOperator.class).orElseThrow();
    }

    private RouterNode router(String name) {
        return simulation.node(name, RouterNode.class).orElseThrow();
    }

    private void changeTo(long version) {
        operator("operator").changeTo(version, simulation.now());
        while (operator("operator").version() < version) {
            simulation.runFor(Simulation.SECOND);
        }
        simulation.runFor(Simulation.SECOND);
    }

    private void partitionAndStopMembers() {
        Set<String> others = new HashSet<>(simulation.machineNames());
        Set<String> partitioned = Set.of(PARTITIONED, PARTITIONED_ROUTER);
        others.removeAll(partitioned);
        simulation.network().partition(partitioned, others);
        simulation.network().partition(others, partitioned);
        fleet.kill(STOPPED);
        fleet.kill(STOPPED_ROUTER);
        simulation.runFor(2 * Simulation.SECOND);
    }

    private void healAndRestartMembers() {
        simulation.network().healAll();
        fleet.start(STOPPED);
        fleet.start(STOPPED_ROUTER);
        operator("reader").read(simulation.now());
    }

    private boolean caughtUp(long newestVersion) {
        return committedNumberOf(PARTITIONED).equals(committedNumberOf(FleetNames.controller(1)))
                && committedNumberOf(STOPPED).equals(committedNumberOf(FleetNames.controller(1)))
                && router(PARTITIONED_ROUTER).version() == newestVersion
                && router(STOPPED_ROUTER).version() == newestVersion;
    }

    private Object committedNumberOf(String controller) {
        return simulation.node(controller, ControllerNode.class).orElseThrow().committedNumber();
    }
}
