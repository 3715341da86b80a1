package burlarch.simulation.scenario;

import burlarch.simulation.NetworkSettings;
import burlarch.simulation.SimulatedNetwork;
import burlarch.simulation.Simulation;
import java.util.LinkedHashSet;
import java.util.Set;

/** What the steps of a scenario do to a simulation. */
final class ScenarioActions {
    private final Simulation simulation;
    private final ScenarioVerbs verbs;

    ScenarioActions(Simulation simulation, ScenarioVerbs verbs) {
        this.simulation = simulation;
        this.verbs = verbs;
    }

    void perform(ScenarioStep step) {
        if (verbs.perform(step, word -> named(word, Set.of()))) {
            return;
        }
        switch (step.verb()) {
            case "start":
                each(step, simulation::start);
                break;
            case "kill":
                each(step, simulation::kill);
                afterwards(step, () -> each(step, simulation::start));
                break;
            case "freeze":
                each(step, name -> simulation.freeze(name, step.duration()));
                break;
            case "clock":
                long millis = Scenario.nanos(step.word(1)) / Simulation.MILLISECOND;
                each(step, name -> simulation.jumpClock(name, millis));
                break;
            case "cut":
                cut(step);
                break;
            case "heal":
                simulation.network().healAll();
                break;
            default:
                changeNetwork(step);
        }
    }

    /** The machines that the word stands for. */
    Set<String> named(String word, Set<String> first) {
        Set<String> names = new LinkedHashSet<>();
        for (String part : word.split(",")) {
            int before = names.size();
            for (String name : simulation.names()) {
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

    private void each(ScenarioStep step, java.util.function.Consumer<String> action) {
        named(step.word(0), Set.of()).forEach(action);
    }

    private void afterwards(ScenarioStep step, Runnable action) {
        if (step.duration() > 0) {
            simulation.at(simulation.now() + step.duration(), action);
        }
    }

    private void cut(ScenarioStep step) {
        Set<String> first = named(step.word(0), Set.of());
        Set<String> second = named(step.word(2), first);
        SimulatedNetwork network = simulation.network();
        SimulatedNetwork.Cut there = network.cut(first, second);
        afterwards(step, () -> network.heal(there));
        if (step.word(1).equals("from")) {
            SimulatedNetwork.Cut back = network.cut(second, first);
            afterwards(step, () -> network.heal(back));
        } else if (!step.word(1).equals("to")) {
            throw new IllegalArgumentException("line " + step.line() + ": cut WHO from WHO, or cut WHO to WHO");
        }
    }

    private void changeNetwork(ScenarioStep step) {
        SimulatedNetwork network = simulation.network();
        NetworkSettings before = network.settings();
        double figure = Double.parseDouble(step.word(0));
        switch (step.verb()) {
            case "loss":
                network.change(before.withLoss(figure));
                afterwards(step, () -> network.change(network.settings().withLoss(before.loss())));
                break;
            case "duplicate":
                network.change(before.withDuplication(figure));
                afterwards(step, () -> network.change(network.settings().withDuplication(before.duplication())));
                break;
            case "delay":
                network.change(before.withDelay(Scenario.nanos(step.word(0)), Scenario.nanos(step.word(1))));
                afterwards(
                        step, () -> network.change(network.settings().withDelay(before.minDelay(), before.maxDelay())));
                break;
            default:
                throw new IllegalArgumentException("line " + step.line() + ": can't " + step.verb());
        }
    }
}
