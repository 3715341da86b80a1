package burlarch.simulation.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.fleet.CoordinationFleet;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.simulation.coordination.node.ControllerNode;
import burlarch.simulation.coordination.node.RouterNode;
import burlarch.simulation.coordination.plan.FleetNames;
import burlarch.simulation.coordination.plan.FleetPlan;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * How soon a router has the newest configuration from a controller that was out of reach of the others for 14 s, while
 * operators change it all the time. The controller first confirms by a quorum read that it knows the newest; the read
 * competes with the changes, so that the time is a matter of chance and only its distribution can be bounded.
 */
class RouterCatchUpTest {
    private static final int SEEDS = 8;
    private static final long PARTITION_AT_NANOS = 8 * Simulation.SECOND;
    private static final long HEAL_AT_NANOS = 22 * Simulation.SECOND;
    private static final long STEP_NANOS = 10 * Simulation.MILLISECOND;
    private static final long USUAL_MILLIS = 500;
    private static final long MAX_MILLIS = 1_000;
    /** Fraction of the runs that may take longer than usual; 13 of 270 did when the bound was set. */
    private static final double MAX_SLOW_FRACTION = 0.1;

    @Test
    void mostRoutersCatchUpWithinHalfASecondAndAllWithinASecond() {
        List<Long> millis = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            for (int controller = 1; controller <= 3; controller++) {
                for (boolean bothWays : new boolean[] {true, false}) {
                    millis.add(catchUpMillis(seed, controller, bothWays));
                }
            }
        }
        long slow = millis.stream().filter(each -> each > USUAL_MILLIS).count();
        assertThat(millis).allMatch(each -> each <= MAX_MILLIS);
        assertThat(slow).as("%s", millis).isLessThanOrEqualTo((long) (MAX_SLOW_FRACTION * millis.size()));
    }

    /** Of a router that is connected with the controller that was partitioned alone. */
    private static long catchUpMillis(long seed, int number, boolean bothWays) {
        FleetPlan plan = new FleetPlan(seed, 3, 0, 2, 2, 2, 1, 0);
        CoordinationFleet fleet = new CoordinationFleet(plan, ComponentOverrides.NONE);
        Simulation simulation = fleet.simulation();
        fleet.startAll();
        simulation.runUntil(PARTITION_AT_NANOS);
        String victim = FleetNames.controller(number);
        Set<String> others = new TreeSet<>(Set.of("core-1", "core-2", "core-3"));
        others.remove(victim);
        simulation.network().partition(Set.of(victim), others);
        if (bothWays) {
            simulation.network().partition(others, Set.of(victim));
        }
        partitionRouter(simulation, others);
        simulation.runUntil(HEAL_AT_NANOS);
        long newest = others.stream()
                .mapToLong(name -> controller(simulation, name).knownVersion())
                .max()
                .orElseThrow();
        simulation.network().healAll();
        partitionRouter(simulation, others);
        while (controller(simulation, victim).peerUpNanos() < HEAL_AT_NANOS) {
            simulation.runFor(STEP_NANOS);
        }
        long connectedAtNanos = simulation.now();
        while (router(simulation).version() < newest
                && simulation.now() - connectedAtNanos <= 2 * MAX_MILLIS * Simulation.MILLISECOND) {
            simulation.runFor(STEP_NANOS);
        }
        return (simulation.now() - connectedAtNanos) / Simulation.MILLISECOND;
    }

    private static void partitionRouter(Simulation simulation, Set<String> others) {
        simulation.network().partition(Set.of("router-2"), others);
        simulation.network().partition(others, Set.of("router-2"));
    }

    private static ControllerNode controller(Simulation simulation, String name) {
        return simulation.node(name, ControllerNode.class).orElseThrow();
    }

    private static RouterNode router(Simulation simulation) {
        return simulation.node("router-2", RouterNode.class).orElseThrow();
    }
}
