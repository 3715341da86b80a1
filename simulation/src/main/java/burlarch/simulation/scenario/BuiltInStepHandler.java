package burlarch.simulation.scenario;

import burlarch.simulation.NetworkSettings;
import burlarch.simulation.SimulatedNetwork;
import burlarch.simulation.Simulation;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/** Performs the steps of the {@link Scenario} grammar that every simulation supports. */
final class BuiltInStepHandler {
    private final Simulation simulation;
    private final ScenarioStepHandler customHandler;

    /** @param customHandler handler that is tried first for each step */
    BuiltInStepHandler(Simulation simulation, ScenarioStepHandler customHandler) {
        this.simulation = simulation;
        this.customHandler = customHandler;
    }

    /** Performs a step now. Throws IllegalArgumentException if its verb, machine or arguments are invalid. */
    void perform(ScenarioStep step) {
        if (customHandler.perform(step, selector -> select(selector, Set.of()))) {
            return;
        }
        switch (step.verb()) {
            case "start" -> forEachMachine(step, simulation::start);
            case "kill" -> {
                forEachMachine(step, simulation::kill);
                scheduleEnd(step, () -> forEachMachine(step, simulation::start));
            }
            case "freeze" -> forEachMachine(step, name -> simulation.freeze(name, step.durationNanos()));
            case "clock" -> {
                long millis = Scenario.parseSeconds(step.argument(1)) / Simulation.MILLISECOND;
                forEachMachine(step, name -> simulation.stepWallClock(name, millis));
            }
            case "cut" -> partition(step);
            case "heal" -> simulation.network().healAll();
            default -> changeNetwork(step);
        }
    }

    /**
     * Returns the names of the machines that a selector matches, in the order of its comma-separated parts and, within
     * a part, in the simulation's order. Throws IllegalArgumentException if a part other than {@code others} adds none.
     *
     * @param excluded names that {@code others} does not match
     */
    Set<String> select(String selector, Set<String> excluded) {
        Set<String> names = new LinkedHashSet<>();
        for (String part : selector.split(",")) {
            int sizeBefore = names.size();
            for (String name : simulation.machineNames()) {
                if (matches(part, name, excluded)) {
                    names.add(name);
                }
            }
            if (names.size() == sizeBefore && !part.equals("others")) {
                throw new IllegalArgumentException("no machine " + part);
            }
        }
        return names;
    }

    private static boolean matches(String part, String name, Set<String> excluded) {
        if (part.equals("others")) {
            return !excluded.contains(name);
        }
        return part.equals("all")
                || part.equals(name)
                || part.endsWith("*") && name.startsWith(part.substring(0, part.length() - 1));
    }

    private void forEachMachine(ScenarioStep step, Consumer<String> action) {
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
        SimulatedNetwork.Partition outbound = network.partition(first, second);
        scheduleEnd(step, () -> network.heal(outbound));
        if (step.argument(1).equals("from")) {
            SimulatedNetwork.Partition inbound = network.partition(second, first);
            scheduleEnd(step, () -> network.heal(inbound));
        } else if (!step.argument(1).equals("to")) {
            throw new IllegalArgumentException("line " + step.line() + ": cut WHO from WHO, or cut WHO to WHO");
        }
    }

    /** Changes one network setting and restores its earlier value when the step's duration has passed. */
    private void changeNetwork(ScenarioStep step) {
        SimulatedNetwork network = simulation.network();
        NetworkSettings before = network.settings();
        double firstNumber = Double.parseDouble(step.argument(0));
        switch (step.verb()) {
            case "loss" -> {
                network.setSettings(before.withLoss(firstNumber));
                scheduleEnd(step, () -> network.setSettings(network.settings().withLoss(before.lossProbability())));
            }
            case "duplicate" -> {
                network.setSettings(before.withDuplication(firstNumber));
                scheduleEnd(
                        step,
                        () -> network.setSettings(network.settings().withDuplication(before.duplicationProbability())));
            }
            case "delay" -> {
                network.setSettings(before.withDelay(
                        Scenario.parseSeconds(step.argument(0)), Scenario.parseSeconds(step.argument(1))));
                scheduleEnd(
                        step,
                        () -> network.setSettings(
                                network.settings().withDelay(before.minDelayNanos(), before.maxDelayNanos())));
            }
            default -> throw new IllegalArgumentException("line " + step.line() + ": can't " + step.verb());
        }
    }
}
