package burlarch.simulation.coordination.fleet;

import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.node.NodeSignals;
import burlarch.simulation.coordination.node.NodeSignals.Call.RetryTarget;
import burlarch.simulation.coordination.node.OperatorNode;
import burlarch.simulation.scenario.ScenarioStep;
import burlarch.simulation.scenario.ScenarioStepHandler;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/** Handler of the steps that decide which calls operators make, and which controllers are called. */
final class CallStepHandler implements ScenarioStepHandler {
    private static final int OPERATORS_IN_RACE = 2;

    private final CoordinationFleet fleet;
    private final Simulation simulation;

    CallStepHandler(CoordinationFleet fleet) {
        this.fleet = fleet;
        simulation = fleet.simulation();
    }

    @Override
    public boolean perform(ScenarioStep step, Function<String, Set<String>> machines) {
        switch (step.verb()) {
            case "seeds" -> fleet.setSeeds(List.copyOf(machines.apply(step.argument(0))));
            case "lure" -> preferController(step, machines);
            case "call" -> call(step, machines);
            case "lose-answers" -> loseResponses(step);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void preferController(ScenarioStep step, Function<String, Set<String>> machines) {
        machines.apply(step.argument(0)).stream().findFirst().ifPresent(fleet::setPreferredController);
        simulation.scheduleAfter(step.durationNanos(), fleet::clearPreferredController);
    }

    /** Makes one operator call, or two at once for a race. */
    private void call(ScenarioStep step, Function<String, Set<String>> machines) {
        boolean race = step.argument(0).equals("race");
        NodeSignals.Call.Kind kind = race
                ? NodeSignals.Call.Kind.PUT
                : NodeSignals.Call.Kind.valueOf(step.argument(0).toUpperCase(Locale.ROOT));
        RetryTarget retryTarget = step.arguments().contains("hard") ? RetryTarget.SAME : RetryTarget.ANY;
        NodeSignals.Call call = new NodeSignals.Call(kind, selectControllerAddress(step, machines), retryTarget);
        simulation.machineNames().stream()
                .filter(name -> simulation.node(name, OperatorNode.class).isPresent())
                .limit(race ? OPERATORS_IN_RACE : 1)
                .forEach(name -> simulation.signal(name, call));
    }

    private Optional<String> selectControllerAddress(ScenarioStep step, Function<String, Set<String>> machines) {
        String selector = step.argument(1);
        return selector.equals("any")
                ? Optional.empty()
                : machines.apply(selector).stream().findFirst().map(fleet::address);
    }

    private void loseResponses(ScenarioStep step) {
        fleet.operatorState().setResponseLossProbability(Double.parseDouble(step.argument(0)));
        simulation.scheduleAfter(
                step.durationNanos(), () -> fleet.operatorState().setResponseLossProbability(0));
    }
}
