package burlarch.simulation.coordination.fleet;

import burlarch.simulation.Simulation;
import burlarch.simulation.scenario.Scenario;
import burlarch.simulation.scenario.ScenarioStep;
import burlarch.simulation.scenario.ScenarioStepHandler;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** Handler of the steps that act on the disks and the wall clocks of machines. */
final class MachineStepHandler implements ScenarioStepHandler {
    private final CoordinationFleet fleet;
    private final Simulation simulation;

    MachineStepHandler(CoordinationFleet fleet) {
        this.fleet = fleet;
        simulation = fleet.simulation();
    }

    @Override
    public boolean perform(ScenarioStep step, Function<String, Set<String>> machines) {
        long untilNanos = simulation.now() + step.durationNanos();
        switch (step.verb()) {
            case "disk-full" -> machines.apply(step.argument(0))
                    .forEach(name -> fleet.disk(name).rejectWritesUntil(untilNanos));
            case "disk-stall" -> machines.apply(step.argument(0))
                    .forEach(name -> fleet.disk(name).stallUntil(untilNanos));
            case "disk-slow" -> slowDisks(step, machines.apply(step.argument(0)), untilNanos);
            case "clock" -> stepWallClocks(step, machines.apply(step.argument(0)));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void slowDisks(ScenarioStep step, Set<String> names, long untilNanos) {
        int factor = Integer.parseInt(step.argument(1));
        for (String name : names) {
            fleet.disk(name).slowDownUntil(untilNanos, factor);
            fleet.connectivity().onFaultFor(step.durationNanos(), List.of(name));
        }
    }

    /** Steps wall clocks without reporting a fault, because nothing in the fleet may depend on the wall clock. */
    private void stepWallClocks(ScenarioStep step, Set<String> names) {
        long millis = Scenario.parseSeconds(step.argument(1)) / Simulation.MILLISECOND;
        names.forEach(name -> simulation.stepWallClock(name, millis));
        if (step.durationNanos() > 0) {
            simulation.scheduleAfter(
                    step.durationNanos(), () -> names.forEach(name -> simulation.stepWallClock(name, -millis)));
        }
    }
}
