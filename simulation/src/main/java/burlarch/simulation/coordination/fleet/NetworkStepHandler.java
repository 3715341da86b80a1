package burlarch.simulation.coordination.fleet;

import burlarch.simulation.SimulatedNetwork;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.node.NodeSignals;
import burlarch.simulation.scenario.ScenarioStep;
import burlarch.simulation.scenario.ScenarioStepHandler;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** Handler of the steps that partition the network, break connections, or lose, duplicate and delay messages. */
final class NetworkStepHandler implements ScenarioStepHandler {
    private final CoordinationFleet fleet;
    private final Simulation simulation;
    private final MessageFaults messageFaults;

    NetworkStepHandler(CoordinationFleet fleet) {
        this.fleet = fleet;
        simulation = fleet.simulation();
        messageFaults = new MessageFaults(simulation, fleet.connectivity());
    }

    @Override
    public boolean perform(ScenarioStep step, Function<String, Set<String>> machines) {
        switch (step.verb()) {
            case "cut" -> partition(step, machines);
            case "break" -> breakConnections(step, machines);
            case "hold" -> holdUp(step, machines);
            case "loss", "duplicate", "delay", "late-copies" -> messageFaults.begin(step);
            case "heal" -> {
                // The built-in step heals the network; this only records that a fault may end at every machine.
                fleet.connectivity().onFault(simulation.machineNames());
                return false;
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private void holdUp(ScenarioStep step, Function<String, Set<String>> machines) {
        Set<String> first = machines.apply(step.argument(0));
        Set<String> second = otherSide(step, machines, first);
        recordFault(step, first, second);
        long endNanos = simulation.now() + step.durationNanos();
        SimulatedNetwork.HoldUp holdUp = simulation.network().holdUp(first, second, endNanos);
        simulation.schedule(endNanos, () -> simulation.network().release(holdUp));
    }

    private Set<String> otherSide(ScenarioStep step, Function<String, Set<String>> machines, Set<String> first) {
        Set<String> second = new LinkedHashSet<>(
                step.argument(2).equals("others") ? simulation.machineNames() : machines.apply(step.argument(2)));
        second.removeAll(first);
        return second;
    }

    private void recordFault(ScenarioStep step, Set<String> first, Set<String> second) {
        fleet.connectivity().onFaultFor(step.durationNanos(), first);
        fleet.connectivity().onFaultFor(step.durationNanos(), second);
    }

    private void partition(ScenarioStep step, Function<String, Set<String>> machines) {
        Set<String> first = machines.apply(step.argument(0));
        Set<String> second = otherSide(step, machines, first);
        recordFault(step, first, second);
        SimulatedNetwork network = simulation.network();
        List<SimulatedNetwork.Partition> partitions = step.argument(1).equals("from")
                ? List.of(network.partition(first, second), network.partition(second, first))
                : List.of(network.partition(first, second));
        if (step.durationNanos() > 0) {
            simulation.scheduleAfter(step.durationNanos(), () -> partitions.forEach(network::heal));
        }
    }

    private void breakConnections(ScenarioStep step, Function<String, Set<String>> machines) {
        Set<String> names = machines.apply(step.argument(0));
        fleet.connectivity().onFault(names);
        double probability = Double.parseDouble(step.argument(1));
        names.forEach(name -> simulation.signal(name, new NodeSignals.BreakConnections(probability)));
    }
}
