package burlarch.simulation.scenario;

import burlarch.simulation.Simulation;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Plays a scenario on a simulation and tells which expectations did not hold. */
public final class ScenarioRunner {
    /** How often an expectation for a span is looked at. */
    private static final long LOOK = 50 * Simulation.MILLISECOND;

    private final Simulation simulation;
    private final Scenario scenario;
    private final Judge judge;
    private final ScenarioActions actions;
    private final List<String> failures = new ArrayList<>();

    public ScenarioRunner(Simulation simulation, Scenario scenario, Judge judge) {
        this(simulation, scenario, judge, (step, names) -> false);
    }

    /** @param verbs steps that it takes are not looked for among the usual ones */
    public ScenarioRunner(Simulation simulation, Scenario scenario, Judge judge, ScenarioVerbs verbs) {
        this.simulation = simulation;
        this.scenario = scenario;
        this.judge = judge;
        actions = new ScenarioActions(simulation, verbs);
    }

    /**
     * Plays from time 0 to the scenario's end. Returns one line for each expectation that failed, at its
     * first.
     */
    public List<String> run() {
        for (ScenarioStep step : scenario.steps()) {
            simulation.at(step.time(), () -> actions.perform(step));
        }
        for (Expectation expectation : scenario.expectations()) {
            simulation.at(expectation.from(), () -> look(expectation));
        }
        simulation.runUntil(scenario.end());
        return List.copyOf(failures);
    }

    private void look(Expectation expectation) {
        for (String name : actions.named(expectation.who(), Set.of())) {
            boolean active = simulation.running(name) && !simulation.frozen(name);
            if (active && !judge.holds(simulation.node(name), expectation.verb(), expectation.words())) {
                failures.add(expectation + ": not so at " + name + " at "
                        + (double) simulation.now() / Simulation.SECOND + " s");
                return;
            }
        }
        if (simulation.now() < expectation.to()) {
            long next = Math.min(expectation.to(), simulation.now() + LOOK);
            simulation.at(next, () -> look(expectation));
        }
    }
}
