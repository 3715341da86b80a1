package burlarch.simulation.coordination.fleet;

import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.node.NodeSignals;
import burlarch.simulation.scenario.Scenario;
import burlarch.simulation.scenario.ScenarioStep;
import burlarch.simulation.scenario.ScenarioStepHandler;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

/** Handler of the steps that start, stop, signal or freeze processes, or take controllers into and out of use. */
final class ProcessStepHandler implements ScenarioStepHandler {
    /** Time from the SIGTERM of a process to its end. */
    private static final long SHUTDOWN_NANOS = 300 * Simulation.MILLISECOND;
    /** Period of a slow process, which is frozen for {@link #SLOW_FREEZE_NANOS} of each period. */
    private static final long SLOW_PERIOD_NANOS = 100 * Simulation.MILLISECOND;

    private static final long SLOW_FREEZE_NANOS = 80 * Simulation.MILLISECOND;

    private final CoordinationFleet fleet;
    private final Simulation simulation;

    ProcessStepHandler(CoordinationFleet fleet) {
        this.fleet = fleet;
        simulation = fleet.simulation();
    }

    @Override
    public boolean perform(ScenarioStep step, Function<String, Set<String>> machines) {
        switch (step.verb()) {
            case "start" -> forEach(step, machines, fleet::start);
            case "kill" -> crash(step, machines, fleet::kill);
            case "power" -> crash(step, machines, fleet::losePower);
            case "wipe" -> wipe(step, machines);
            case "term" -> terminate(step, machines);
            case "remove" -> forEach(step, machines, this::remove);
            case "retire" -> forEach(step, machines, fleet::retire);
            case "replace" -> replace(step, machines);
            case "exchange" -> exchange(step, machines);
            case "freeze" -> freeze(step, machines);
            case "slow" -> slowDown(step, machines);
            case "hup" -> forEach(step, machines, this::reloadSeeds);
            case "drain" -> forEach(step, machines, name -> simulation.signal(name, new NodeSignals.Drain()));
            default -> {
                return false;
            }
        }
        return true;
    }

    private static void forEach(ScenarioStep step, Function<String, Set<String>> machines, Consumer<String> action) {
        machines.apply(step.argument(0)).forEach(action);
    }

    private void crash(ScenarioStep step, Function<String, Set<String>> machines, Consumer<String> crash) {
        Set<String> running = running(step, machines);
        running.forEach(crash);
        restartAfter(step, running);
    }

    private Set<String> running(ScenarioStep step, Function<String, Set<String>> machines) {
        Set<String> names = machines.apply(step.argument(0));
        names.removeIf(name -> !simulation.isRunning(name));
        return names;
    }

    private void restartAfter(ScenarioStep step, Set<String> names) {
        if (step.durationNanos() > 0) {
            simulation.scheduleAfter(step.durationNanos(), () -> names.forEach(fleet::start));
        }
    }

    private Set<String> controllersInUse(ScenarioStep step, Function<String, Set<String>> machines) {
        Set<String> names = machines.apply(step.argument(0));
        names.retainAll(fleet.controllersInUse());
        return names;
    }

    /** Wipes running and stopped controllers alike, because the step erases the disk. */
    private void wipe(ScenarioStep step, Function<String, Set<String>> machines) {
        Set<String> names = controllersInUse(step, machines);
        names.forEach(fleet::wipe);
        restartAfter(step, names);
    }

    private void terminate(ScenarioStep step, Function<String, Set<String>> machines) {
        Set<String> names = running(step, machines);
        names.forEach(this::sendTerminateSignal);
        simulation.scheduleAfter(SHUTDOWN_NANOS, () -> names.forEach(fleet::kill));
        restartAfter(step, names);
    }

    private void sendTerminateSignal(String name) {
        fleet.connectivity().onFault(List.of(name));
        simulation.signal(name, new NodeSignals.Terminate());
    }

    private void remove(String name) {
        sendTerminateSignal(name);
        simulation.scheduleAfter(SHUTDOWN_NANOS, () -> fleet.retire(name));
    }

    private void replace(ScenarioStep step, Function<String, Set<String>> machines) {
        controllersInUse(step, machines).forEach(fleet::retire);
        simulation.scheduleAfter(Scenario.parseSeconds(step.argument(2)), () -> machines.apply(step.argument(1))
                .forEach(fleet::start));
    }

    private void exchange(ScenarioStep step, Function<String, Set<String>> machines) {
        Set<String> leaving = controllersInUse(step, machines);
        machines.apply(step.argument(1)).forEach(fleet::start);
        simulation.scheduleAfter(Scenario.parseSeconds(step.argument(2)), () -> leaving.forEach(this::remove));
    }

    private void freeze(ScenarioStep step, Function<String, Set<String>> machines) {
        Set<String> names = machines.apply(step.argument(0));
        fleet.connectivity().onFaultFor(step.durationNanos(), names);
        names.forEach(name -> simulation.freeze(name, step.durationNanos()));
    }

    private void slowDown(ScenarioStep step, Function<String, Set<String>> machines) {
        Set<String> names = machines.apply(step.argument(0));
        fleet.connectivity().onFaultFor(step.durationNanos(), names);
        for (long delay = 0; delay < step.durationNanos(); delay += SLOW_PERIOD_NANOS) {
            simulation.scheduleAfter(delay, () -> names.forEach(name -> simulation.freeze(name, SLOW_FREEZE_NANOS)));
        }
    }

    private void reloadSeeds(String name) {
        simulation.signal(name, new NodeSignals.ReloadSeeds(fleet.seedAddresses()));
    }
}
