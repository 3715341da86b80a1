package burlarch.simulation.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.fleet.CoordinationFleet;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.simulation.coordination.node.ControlAction;
import burlarch.simulation.coordination.node.RouterNode;
import burlarch.simulation.coordination.plan.FleetNames;
import burlarch.simulation.coordination.plan.FleetPlan;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * An instance drains or leaves, and then all controllers and routers are killed and started again. Guards against a
 * heartbeat that was sent before, arrives after the restart and brings the instance back (DRAIN).
 */
class LeaveOutlastsKillTest {
    private static final String ID = "i-leaving";
    private static final long FLEET_READY_NANOS = 8 * Simulation.SECOND;
    private static final long DOWN_NANOS = 800 * Simulation.MILLISECOND;
    /** Time in which controllers and routers that were all killed are connected again and know the state. */
    private static final long RECOVERY_NANOS = 4 * Simulation.SECOND;
    /** Longer than an announcement can be late; afterwards the id may be used again. */
    private static final long RETENTION_NANOS = 61 * Simulation.SECOND;

    private static final long HEARTBEAT_NANOS = 500 * Simulation.MILLISECOND;
    private static final int STATUS_OK = 200;

    private final FleetPlan plan = new FleetPlan(5, 3, 0, 2, 1, 0, 1, 0);
    private final CoordinationFleet fleet = new CoordinationFleet(plan, ComponentOverrides.NONE);
    private final Simulation simulation = fleet.simulation();
    private long sequence;

    @BeforeEach
    void startFleet() {
        simulation.addMachine("caller", "10.0.6.1:7340", context -> new ScriptedCaller(context, simulation));
        fleet.startAll();
        simulation.runUntil(FLEET_READY_NANOS);
    }

    private ScriptedCaller.Call call(int controller, ControlAction action) {
        return simulation
                .node("caller", ScriptedCaller.class)
                .orElseThrow()
                .call(FleetNames.controllerAddress(controller), action);
    }

    private ControlAction.Announce heartbeat() {
        return announcement(InstanceState.READY);
    }

    private ControlAction.Announce announcement(InstanceState state) {
        sequence++;
        return new ControlAction.Announce(
                new Instance(ID, "service-1", "10.0.7.1:7340", "zone", "v1", 8, state, 0, List.of(), sequence));
    }

    private void sendHeartbeatsFor(int controller, long nanos) {
        long endNanos = simulation.now() + nanos;
        while (simulation.now() < endNanos) {
            call(controller, heartbeat());
            simulation.runFor(HEARTBEAT_NANOS);
        }
    }

    private void killAndStartAll() {
        List<String> machines = List.of("core-1", "core-2", "core-3", "router-1", "router-2");
        machines.forEach(fleet::kill);
        simulation.runFor(DOWN_NANOS);
        machines.forEach(fleet::start);
    }

    private boolean anyRouterSends() {
        return List.of("router-1", "router-2").stream()
                .anyMatch(name ->
                        simulation.node(name, RouterNode.class).orElseThrow().sendsTo(ID));
    }

    /** The late heartbeat arrives before or after the restarted controllers know the state again. */
    @ParameterizedTest
    @CsvSource({"1, 1, 20", "1, 2, 20", "2, 1, 20", "1, 2, 500", "3, 1, 500", "1, 2, 3000", "2, 2, 3000", "3, 1, 3000"})
    void lateHeartbeatDoesNotBringBackTheInstance(int leaveAt, int heartbeatAt, long delayMillis) {
        sendHeartbeatsFor(leaveAt, 2 * Simulation.SECOND);
        assertThat(anyRouterSends()).isTrue();
        ControlAction.Announce late = heartbeat();
        endAndKillAll(leaveAt, new ControlAction.Leave(ID));
        simulation.runFor(delayMillis * Simulation.MILLISECOND);
        assertStaysAwayDespite(late, heartbeatAt);
    }

    @ParameterizedTest
    @CsvSource({"1, 2, 20", "2, 1, 500", "1, 3, 3000"})
    void lateHeartbeatDoesNotBringBackADrainingInstance(int drainAt, int heartbeatAt, long delayMillis) {
        sendHeartbeatsFor(drainAt, 2 * Simulation.SECOND);
        ControlAction.Announce late = heartbeat();
        endAndKillAll(drainAt, announcement(InstanceState.DRAINING));
        simulation.runFor(delayMillis * Simulation.MILLISECOND);
        assertStaysAwayDespite(late, heartbeatAt);
    }

    private void endAndKillAll(int controller, ControlAction end) {
        ScriptedCaller.Call call = call(controller, end);
        simulation.runFor(Simulation.SECOND);
        assertThat(call.status()).isEqualTo(STATUS_OK);
        killAndStartAll();
    }

    private void assertStaysAwayDespite(ControlAction.Announce late, int controller) {
        for (int repetition = 0; repetition < 2; repetition++) {
            call(controller, late);
            simulation.runFor(RECOVERY_NANOS);
            assertThat(anyRouterSends()).isFalse();
        }
    }

    /** An id may be used again; the departure of its first use must not remove the instance after a later restart. */
    @Test
    void returnedInstanceIsKeptAfterTheNextKill() {
        call(1, heartbeat());
        simulation.runFor(Simulation.SECOND);
        call(1, new ControlAction.Leave(ID));
        simulation.runFor(RETENTION_NANOS);
        sendHeartbeatsFor(1, 2 * Simulation.SECOND);

        killAndStartAll();
        simulation.runFor(RECOVERY_NANOS);
        sendHeartbeatsFor(2, 2 * Simulation.SECOND);
        assertThat(anyRouterSends()).isTrue();
    }

    /** An id that is used again early is not served at once, but it must not be kept out for good. */
    @Test
    void idThatIsUsedAgainEarlyIsServedInTheEnd() {
        call(1, heartbeat());
        simulation.runFor(Simulation.SECOND);
        endAndKillAll(1, new ControlAction.Leave(ID));
        sendHeartbeatsFor(2, RETENTION_NANOS + RECOVERY_NANOS);
        assertThat(anyRouterSends()).isTrue();
    }
}
