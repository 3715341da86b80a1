package burlarch.simulation.coordination;

import burlarch.simulation.NetworkSettings;
import burlarch.simulation.Simulation;
import burlarch.simulation.scenario.ScenarioStep;
import java.util.ArrayList;
import java.util.List;

/** Loss, doubling and delay of messages; several may hold at once, and each ends by itself. */
final class NetworkHarms {
    private final Simulation simulation;
    private final Touch touch;
    private final NetworkSettings usual;
    private final List<ScenarioStep> harms = new ArrayList<>();

    NetworkHarms(Simulation simulation, Touch touch) {
        this.simulation = simulation;
        this.touch = touch;
        usual = simulation.network().settings();
    }

    void begin(ScenarioStep step) {
        long until = step.duration() == 0 ? Long.MAX_VALUE : simulation.now() + step.duration();
        touch.onNetwork(until);
        harms.add(step);
        apply();
        simulation.at(until, () -> {
            harms.remove(step);
            apply();
        });
    }

    private void apply() {
        NetworkSettings settings = usual;
        for (ScenarioStep harm : harms) {
            double figure = Double.parseDouble(harm.word(0));
            settings = switch (harm.verb()) {
                case "loss" -> settings.withLoss(Math.max(figure, settings.loss()));
                case "duplicate" -> settings.withDuplication(Math.max(figure, settings.duplication()));
                default -> settings.withDelay((long) (figure * Simulation.SECOND), (long)
                        (Double.parseDouble(harm.word(1)) * Simulation.SECOND));
            };
        }
        simulation.network().change(settings);
    }
}
