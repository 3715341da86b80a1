package burlarch.simulation.coordination.fleet;

import burlarch.simulation.NetworkSettings;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.check.Connectivity;
import burlarch.simulation.scenario.ScenarioStep;
import java.util.ArrayList;
import java.util.List;

/**
 * Loss, duplication and delay of messages. Several of them may be in force at once: of losses and of duplications the
 * greatest applies, of delays the latest. Each ends by itself.
 */
final class MessageFaults {
    private final Simulation simulation;
    private final Connectivity connectivity;
    private final NetworkSettings usualSettings;
    private final List<ScenarioStep> inForce = new ArrayList<>();

    MessageFaults(Simulation simulation, Connectivity connectivity) {
        this.simulation = simulation;
        this.connectivity = connectivity;
        usualSettings = simulation.network().settings();
    }

    /** Begins a {@code loss}, {@code duplicate} or {@code delay} step; without a duration it lasts. */
    void begin(ScenarioStep step) {
        long untilNanos = step.durationNanos() == 0 ? Long.MAX_VALUE : simulation.now() + step.durationNanos();
        connectivity.onNetworkFaultUntil(untilNanos);
        inForce.add(step);
        apply();
        simulation.schedule(untilNanos, () -> {
            inForce.remove(step);
            apply();
        });
    }

    private void apply() {
        NetworkSettings settings = usualSettings;
        for (ScenarioStep step : inForce) {
            settings = with(step, settings);
        }
        simulation.network().setSettings(settings);
    }

    private static NetworkSettings with(ScenarioStep step, NetworkSettings settings) {
        double figure = Double.parseDouble(step.argument(0));
        return switch (step.verb()) {
            case "loss" -> settings.withLoss(Math.max(figure, settings.lossProbability()));
            case "duplicate" -> settings.withDuplication(Math.max(figure, settings.duplicationProbability()));
            default -> settings.withDelay((long) (figure * Simulation.SECOND), (long)
                    (Double.parseDouble(step.argument(1)) * Simulation.SECOND));
        };
    }
}
