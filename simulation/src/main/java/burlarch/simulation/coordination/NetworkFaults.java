package burlarch.simulation.coordination;

import burlarch.simulation.NetworkSettings;
import burlarch.simulation.Simulation;
import burlarch.simulation.scenario.ScenarioStep;
import java.util.ArrayList;
import java.util.List;

/** Loss, doubling and delay of messages; several may hold at once, and each ends by itself. */
final class NetworkFaults {
    private final Simulation simulation;
    private final Connectivity touch;
    private final NetworkSettings usual;
    private final List<ScenarioStep> harms = new ArrayList<>();

    NetworkFaults(Simulation simulation, Connectivity touch) {
        this.simulation = simulation;
        this.touch = touch;
        usual = simulation.network().settings();
    }

    void begin(ScenarioStep step) {
        long until = step.durationNanos() == 0 ? Long.MAX_VALUE : simulation.now() + step.durationNanos();
        touch.onNetworkFaultUntil(until);
        harms.add(step);
        apply();
        simulation.schedule(until, () -> {
            harms.remove(step);
            apply();
        });
    }

    private void apply() {
        NetworkSettings settings = usual;
        for (ScenarioStep harm : harms) {
            double figure = Double.parseDouble(harm.argument(0));
            settings = switch (harm.verb()) {
                case "loss" -> settings.withLoss(Math.max(figure, settings.lossProbability()));
                case "duplicate" -> settings.withDuplication(Math.max(figure, settings.duplicationProbability()));
                default -> settings.withDelay((long) (figure * Simulation.SECOND), (long)
                        (Double.parseDouble(harm.argument(1)) * Simulation.SECOND));
            };
        }
        simulation.network().setSettings(settings);
    }
}
