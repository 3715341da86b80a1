package burlarch.simulation.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.fleet.CoordinationFleet;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.simulation.coordination.node.ConfigurationBodies;
import burlarch.simulation.coordination.node.ControlAction;
import burlarch.simulation.coordination.node.ControllerNode;
import burlarch.simulation.coordination.node.InstanceNode;
import burlarch.simulation.coordination.node.RouterNode;
import burlarch.simulation.coordination.plan.FleetNames;
import burlarch.simulation.coordination.plan.FleetPlan;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Partitions or freezes each of three real controllers in turn for 14 s while operators and instances go on. The
 * partitioned controller must not answer for the fleet, revert what the others committed, or catch up late.
 */
class PartitionedControllerTest {
    private static final long PARTITION_AT_NANOS = 8 * Simulation.SECOND;
    private static final long HEAL_AT_NANOS = 22 * Simulation.SECOND;
    private static final long END_NANOS = 27 * Simulation.SECOND;
    /** A controller detects a partition within this time: end of retransmissions, then idle time-out. */
    private static final long PARTITION_DETECTION_NANOS = 3 * Simulation.SECOND;

    private static final long STEP_NANOS = 130 * Simulation.MILLISECOND;
    /** Time within which connected routers must know an acknowledged version, as in the checkers of the search. */
    private static final long MAX_CATCH_UP_NANOS = Simulation.SECOND;

    private static final int STATUS_UNAVAILABLE = 503;

    private final FleetPlan plan = new FleetPlan(5, 3, 0, 2, 2, 2, 1, 0);
    private final CoordinationFleet fleet = new CoordinationFleet(plan, ComponentOverrides.NONE);
    private final Simulation simulation = fleet.simulation();
    private String partitionedController;
    private Set<String> otherControllers;

    @BeforeEach
    void startFleet() {
        simulation.addMachine("caller", "10.0.6.1:7340", context -> new ScriptedCaller(context, simulation));
        fleet.startAll();
        simulation.runUntil(PARTITION_AT_NANOS);
    }

    private void partition(int number, String direction) {
        partitionedController = FleetNames.controller(number);
        otherControllers = new TreeSet<>(Set.of("core-1", "core-2", "core-3"));
        otherControllers.remove(partitionedController);
        fleet.connectivity().onFault(List.of(partitionedController));
        if (direction.equals("frozen")) {
            simulation.freeze(partitionedController, HEAL_AT_NANOS - simulation.now());
            return;
        }
        if (!direction.equals("in")) {
            simulation.network().partition(Set.of(partitionedController), otherControllers);
        }
        if (!direction.equals("out")) {
            simulation.network().partition(otherControllers, Set.of(partitionedController));
        }
    }

    private ScriptedCaller caller() {
        return simulation.node("caller", ScriptedCaller.class).orElseThrow();
    }

    private RouterNode router(int number) {
        return simulation.node("router-" + number, RouterNode.class).orElseThrow();
    }

    private ControllerNode controller(String name) {
        return simulation.node(name, ControllerNode.class).orElseThrow();
    }

    private static Instance instance(String id, InstanceState state, long sequence) {
        return new Instance(id, "service-1", "10.0.7.1:7340", "zone", "v1", 8, state, 0, List.of(), sequence);
    }

    private ScriptedCaller.Call call(String name, ControlAction action) {
        return caller().call(FleetNames.controllerAddress(Integer.parseInt(name.substring("core-".length()))), action);
    }

    private static boolean isOperatorCall(ScriptedCaller.Call call) {
        return !(call.action() instanceof ControlAction.Announce) && !(call.action() instanceof ControlAction.Leave);
    }

    @ParameterizedTest
    @CsvSource({"1, both", "2, both", "3, both", "1, out", "2, out", "3, out", "1, in", "2, in", "3, in"})
    void partitionedControllerRejectsCallsThatNeedQuorum(int number, String direction) {
        partition(number, direction);
        simulation.runFor(STEP_NANOS);
        for (int i = 1; simulation.now() < HEAL_AT_NANOS; i++) {
            List<ControlAction> actions = List.of(
                    new ControlAction.Read(),
                    new ControlAction.Put(ConfigurationBodies.configuration(i, "put-" + i), 0),
                    new ControlAction.Put(ConfigurationBodies.configuration(1_000 + i, "next-" + i), 999 + i),
                    new ControlAction.Patch(ConfigurationBodies.patch(1 + i, "patch-" + i), i),
                    new ControlAction.NameWeights(InstanceNode.MODEL, 1),
                    new ControlAction.NameWeights("model-" + i, 1),
                    new ControlAction.Announce(instance("i-" + i, InstanceState.READY, 1)),
                    new ControlAction.Announce(instance("i-" + i, InstanceState.DRAINING, 2)),
                    new ControlAction.Leave("i-" + i));
            for (ControlAction action : actions) {
                call(partitionedController, action);
                simulation.runFor(STEP_NANOS);
            }
        }
        simulation.runFor(2 * Simulation.SECOND);
        assertThat(caller().calls())
                .hasSizeGreaterThan(50)
                .filteredOn(
                        call -> isOperatorCall(call) || call.sentAt() >= PARTITION_AT_NANOS + PARTITION_DETECTION_NANOS)
                .allMatch(call -> call.status() == STATUS_UNAVAILABLE && call.tookNanos() < Simulation.SECOND);
        assertThat(fleet.checkers().violations().violations()).isEmpty();
    }

    /** Routers that reach the controller must learn of the instance although the call itself fails with 503. */
    @ParameterizedTest
    @CsvSource({"1, both", "2, both", "3, both", "2, out", "2, in"})
    void partitionedControllerForwardsAnnouncementsAndDrainsToRouters(int number, String direction) {
        partition(number, direction);
        simulation.runFor(PARTITION_DETECTION_NANOS);
        call(partitionedController, new ControlAction.Announce(instance("i-new", InstanceState.READY, 1)));
        simulation.runFor(STEP_NANOS);
        assertThat(router(1).sendsTo("i-new")).isTrue();
        ScriptedCaller.Call drain =
                call(partitionedController, new ControlAction.Announce(instance("i-new", InstanceState.DRAINING, 2)));
        simulation.runFor(STEP_NANOS);
        assertThat(drain.status()).isEqualTo(STATUS_UNAVAILABLE);
        assertThat(router(1).sendsTo("i-new")).isFalse();
        assertThat(router(2).sendsTo("i-new")).isFalse();
    }

    /** All three are partitioned from one another: none can time out an instance, but routers must receive a drain. */
    @Test
    void withoutQuorumNoInstanceTimesOutAndDrainsAreForwarded() {
        call("core-1", new ControlAction.Announce(instance("i-silent", InstanceState.READY, 1)));
        simulation.runFor(STEP_NANOS);
        Set<String> all = Set.of("core-1", "core-2", "core-3");
        all.forEach(name -> simulation.network().partition(Set.of(name), all));
        simulation.runUntil(HEAL_AT_NANOS);
        assertThat(router(1).sendsTo("i-silent")).isTrue();
        ScriptedCaller.Call drain =
                call("core-2", new ControlAction.Announce(instance("i-silent", InstanceState.DRAINING, 2)));
        simulation.runFor(STEP_NANOS);
        assertThat(drain.status()).isEqualTo(STATUS_UNAVAILABLE);
        assertThat(router(1).sendsTo("i-silent")).isFalse();
        assertThat(router(2).sendsTo("i-silent")).isFalse();
    }

    /**
     * Router 2 reaches only the partitioned controller, and so shows what that controller learns after the partition.
     */
    @ParameterizedTest
    @CsvSource({
        "1, both",
        "2, both",
        "3, both",
        "1, out",
        "2, out",
        "3, out",
        "1, in",
        "2, in",
        "3, in",
        "1, frozen",
        "2, frozen",
        "3, frozen"
    })
    void reconnectedControllerCatchesUpAndRevertsNothing(int number, String direction) {
        String other = FleetNames.controller(number % 3 + 1);
        call(other, new ControlAction.Announce(instance("i-drains", InstanceState.READY, 1)));
        simulation.runFor(Simulation.SECOND);
        partition(number, direction);
        fleet.connectivity().onFault(List.of("router-2"));
        simulation.network().partition(Set.of("router-2"), otherControllers);
        simulation.network().partition(otherControllers, Set.of("router-2"));
        simulation.runFor(PARTITION_DETECTION_NANOS);
        call(other, new ControlAction.Announce(instance("i-drains", InstanceState.DRAINING, 2)));
        call(other, new ControlAction.Announce(instance("i-comes", InstanceState.READY, 1)));
        simulation.runUntil(HEAL_AT_NANOS);
        assertThat(router(2).sendsTo("i-drains")).as("not told as yet").isTrue();

        long newestVersion = otherControllers.stream()
                .mapToLong(name -> controller(name).knownVersion())
                .max()
                .getAsLong();
        assertThat(controller(partitionedController).knownVersion()).isLessThan(newestVersion);
        simulation.network().healAll();
        simulation.network().partition(Set.of("router-2"), otherControllers);
        simulation.network().partition(otherControllers, Set.of("router-2"));
        long connectedAtNanos = runUntilConnected();
        simulation.runUntil(connectedAtNanos + MAX_CATCH_UP_NANOS);

        assertThat(controller(partitionedController).knownVersion()).isGreaterThanOrEqualTo(newestVersion);
        if (!direction.equals("frozen")) {
            // The router has yet to reconnect to a controller that was frozen.
            assertThat(router(2).version()).isGreaterThanOrEqualTo(newestVersion);
            assertThat(router(2).sendsTo("i-drains")).isFalse();
        }
        simulation.runUntil(END_NANOS);
        assertThat(router(2).version()).isGreaterThanOrEqualTo(newestVersion);
        assertThat(router(1).sendsTo("i-drains")).isFalse();
        assertThat(router(2).sendsTo("i-drains")).isFalse();
        assertThat(fleet.checkers().violations().violations()).isEmpty();
    }

    private long runUntilConnected() {
        while (controller(partitionedController).peerUpNanos() < HEAL_AT_NANOS && simulation.now() < END_NANOS) {
            simulation.runFor(Simulation.MILLISECOND);
        }
        return controller(partitionedController).peerUpNanos();
    }
}
