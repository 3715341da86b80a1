package burlarch.simulation.scenario;

import burlarch.simulation.NetworkSettings;
import burlarch.simulation.SimulatedNetwork;
import burlarch.simulation.Simulation;
import java.util.LinkedHashSet;
import java.util.Set;

/** What the steps of a scenario do to a simulation. */
final class BuiltInStepHandler {
    private final Simulation simulation;
    private final ScenarioStepHandler verbs;

    BuiltInStepHandler(Simulation simulation, ScenarioStepHandler verbs) {
        this.simulation = simulation;
        this.verbs = verbs;
    }

    void perform(ScenarioStep step) {
        if (verbs.perform(step, word -> select(word, Set.of()))) {
            return;
        }
        switch (step.verb()) {
            case "start":
                forEachMachine(step, simulation::start);
                break;
            case "kill":
                forEachMachine(step, simulation::kill);
                scheduleEnd(step, () -> forEachMachine(step, simulation::start));
                break;
            case "freeze":
                forEachMachine(step, name -> simulation.freeze(name, step.durationNanos()));
                break;
            case "clock":
                long millis = Scenario.nanos(step.argument(1)) / Simulation.MILLISECOND;
                forEachMachine(step, name -> simulation.stepWallClock(name, millis));
                break;
            case "cut":
                partition(step);
                break;
            case "heal":
                simulation.network().healAll();
                break;
            default:
                changeNetwork(step);
        }
    }

    /** The machines that the word stands for. */
    Set<String> select(String word, Set<String> first) {
        Set<String> names = new LinkedHashSet<>();
        for (String part : word.split(",")) {
            int before = names.size();
            for (String name : simulation.machineNames()) {
                if (matches(part, name, first)) {
                    names.add(name);
                }
            }
            if (names.size() == before && !part.equals("others")) {
                throw new IllegalArgumentException("no machine " + part);
            }
        }
        return names;
    }

    private static boolean matches(String part, String name, Set<String> first) {
        if (part.equals("others")) {
            return !first.contains(name);
        }
        return part.equals("all")
                || part.equals(name)
                || part.endsWith("*") && name.startsWith(part.substring(0, part.length() - 1));
    }

    private void forEachMachine(ScenarioStep step, java.util.function.Consumer<String> action) {
        select(step.argument(0), Set.of()).forEach(action);
    }

    private void scheduleEnd(ScenarioStep step, Runnable action) {
        if (step.durationNanos() > 0) {
            simulation.schedule(simulation.now() + step.durationNanos(), action);
        }
    }

    private void partition(ScenarioStep step) {
        Set<String> first = select(step.argument(0), Set.of());
        Set<String> second = select(step.argument(2), first);
        SimulatedNetwork network = simulation.network();
        SimulatedNetwork.Partition there = network.partition(first, second);
        scheduleEnd(step, () -> network.heal(there));
        if (step.argument(1).equals("from")) {
            SimulatedNetwork.Partition back = network.partition(second, first);
            scheduleEnd(step, () -> network.heal(back));
        } else if (!step.argument(1).equals("to")) {
            throw new IllegalArgumentException("line " + step.line() + ": cut WHO from WHO, or cut WHO to WHO");
        }
    }

    private void changeNetwork(ScenarioStep step) {
        SimulatedNetwork network = simulation.network();
        NetworkSettings before = network.settings();
        double figure = Double.parseDouble(step.argument(0));
        switch (step.verb()) {
            case "loss":
                network.setSettings(before.withLoss(figure));
                scheduleEnd(step, () -> network.setSettings(network.settings().withLoss(before.lossProbability())));
                break;
            case "duplicate":
                network.setSettings(before.withDuplication(figure));
                scheduleEnd(
                        step,
                        () -> network.setSettings(network.settings().withDuplication(before.duplicationProbability())));
                break;
            case "delay":
                network.setSettings(
                        before.withDelay(Scenario.nanos(step.argument(0)), Scenario.nanos(step.argument(1))));
                scheduleEnd(
                        step,
                        () -> network.setSettings(
                                network.settings().withDelay(before.minDelayNanos(), before.maxDelayNanos())));
                break;
            default:
                throw new IllegalArgumentException("line " + step.line() + ": can't " + step.verb());
        }
    }
}
