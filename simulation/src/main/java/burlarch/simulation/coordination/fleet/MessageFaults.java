package burlarch.simulation.coordination.fleet;

import burlarch.simulation.NetworkSettings;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.check.Connectivity;
import burlarch.simulation.scenario.ScenarioStep;
import burlarch.simulation.transport.Packet;
import java.util.ArrayList;
import java.util.List;

/**
 * Loss, duplication and delay of messages in the simulated network, and late copies of the messages of calls. Several
 * may be active at once: the highest probabilities apply, and the most recent delay. Each ends after its duration.
 */
final class MessageFaults {
    private final Simulation simulation;
    private final Connectivity connectivity;
    private final NetworkSettings faultFreeSettings;
    private final List<ScenarioStep> activeSteps = new ArrayList<>();

    MessageFaults(Simulation simulation, Connectivity connectivity) {
        this.simulation = simulation;
        this.connectivity = connectivity;
        faultFreeSettings = simulation.network().settings();
    }

    /**
     * Begins a {@code loss}, {@code duplicate}, {@code delay} or {@code late-copies} step; a step without a duration is
     * permanent. Late copies excuse nothing: each message has arrived in time already.
     */
    void begin(ScenarioStep step) {
        long untilNanos = step.durationNanos() == 0 ? Long.MAX_VALUE : simulation.now() + step.durationNanos();
        if (!isLateCopies(step)) {
            connectivity.onNetworkFaultUntil(untilNanos);
        }
        activeSteps.add(step);
        apply();
        simulation.schedule(untilNanos, () -> {
            activeSteps.remove(step);
            apply();
        });
    }

    private void apply() {
        NetworkSettings settings = faultFreeSettings;
        for (ScenarioStep step : activeSteps) {
            settings = applyStep(step, settings);
        }
        simulation.network().setSettings(settings);
        double lateCopyProbability = activeSteps.stream()
                .filter(MessageFaults::isLateCopies)
                .mapToDouble(step -> Double.parseDouble(step.argument(0)))
                .max()
                .orElse(0);
        simulation.network().setLateCopies(lateCopyProbability, MessageFaults::belongsToCall);
    }

    private static boolean isLateCopies(ScenarioStep step) {
        return step.verb().equals("late-copies");
    }

    /** Packets of connections between nodes are not copied: TCP discards such copies. */
    private static boolean belongsToCall(Object message) {
        return !(message instanceof Packet);
    }

    private static NetworkSettings applyStep(ScenarioStep step, NetworkSettings settings) {
        double firstArgument = Double.parseDouble(step.argument(0));
        return switch (step.verb()) {
            case "loss" -> settings.withLoss(Math.max(firstArgument, settings.lossProbability()));
            case "late-copies" -> settings;
            case "duplicate" -> settings.withDuplication(Math.max(firstArgument, settings.duplicationProbability()));
            default -> settings.withDelay((long) (firstArgument * Simulation.SECOND), (long)
                    (Double.parseDouble(step.argument(1)) * Simulation.SECOND));
        };
    }
}
