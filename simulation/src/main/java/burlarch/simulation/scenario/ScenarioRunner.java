package burlarch.simulation.scenario;

import burlarch.simulation.Simulation;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Runs a scenario on a simulation and reports the expectations that did not hold. */
public final class ScenarioRunner {
    /** Interval between evaluations of an expectation that must hold over an interval. */
    private static final long POLL_NANOS = 50 * Simulation.MILLISECOND;

    private final Simulation simulation;
    private final Scenario scenario;
    private final ExpectationEvaluator evaluator;
    private final BuiltInStepHandler stepHandler;
    private final List<String> failures = new ArrayList<>();

    /** Creates a runner for a scenario that uses only built-in steps. */
    public ScenarioRunner(Simulation simulation, Scenario scenario, ExpectationEvaluator evaluator) {
        this(simulation, scenario, evaluator, ScenarioStepHandler.NONE);
    }

    /** @param handler handler that is tried first for each step; a step that it declines must be a built-in one */
    public ScenarioRunner(
            Simulation simulation, Scenario scenario, ExpectationEvaluator evaluator, ScenarioStepHandler handler) {
        this.simulation = simulation;
        this.scenario = scenario;
        this.evaluator = evaluator;
        stepHandler = new BuiltInStepHandler(simulation, handler);
    }

    /**
     * Runs the simulation from time 0 to the end of the scenario.
     *
     * @return one line for each failed expectation, describing its first failure; empty if all held
     */
    public List<String> run() {
        for (ScenarioStep step : scenario.steps()) {
            simulation.schedule(step.timeNanos(), () -> stepHandler.perform(step));
        }
        for (Expectation expectation : scenario.expectations()) {
            simulation.schedule(expectation.fromNanos(), () -> evaluate(expectation));
        }
        simulation.runUntil(scenario.endNanos());
        return List.copyOf(failures);
    }

    private void evaluate(Expectation expectation) {
        for (String name : stepHandler.select(expectation.machines(), Set.of())) {
            if (!holdsOn(name, expectation)) {
                failures.add(expectation + ": not so at " + name + " at "
                        + (double) simulation.now() / Simulation.SECOND + " s");
                return;
            }
        }
        if (simulation.now() < expectation.toNanos()) {
            long nextEvaluationNanos = Math.min(expectation.toNanos(), simulation.now() + POLL_NANOS);
            simulation.schedule(nextEvaluationNanos, () -> evaluate(expectation));
        }
    }

    private boolean holdsOn(String name, Expectation expectation) {
        if (simulation.isFrozen(name)) {
            return true;
        }
        return simulation
                .node(name)
                .map(node -> evaluator.holds(node, expectation.verb(), expectation.arguments()))
                .orElse(true);
    }
}
