package burlarch.simulation.coordination;

import burlarch.simulation.NetworkSettings;
import burlarch.simulation.Simulation;
import burlarch.simulation.scenario.ScenarioStep;
import burlarch.simulation.scenario.ScenarioVerbs;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * What a scenario may do to a fleet beside the usual steps, and the note of every trouble for {@link Touch}.
 *
 * <pre>
 * at T power WHO [for D]        (loses its power, and what was not synced)
 * at T wipe WHO [for D]         (comes back with an empty disk)
 * at T retire WHO               (gone for good, its disk too)
 * at T disk-full WHO for D      at T disk-stall WHO for D
 * </pre>
 */
final class FleetVerbs implements ScenarioVerbs {
    private final CoordinationFleet fleet;
    private final Simulation simulation;
    private final NetworkSettings usual;
    private final List<ScenarioStep> harms = new ArrayList<>();

    FleetVerbs(CoordinationFleet fleet) {
        this.fleet = fleet;
        simulation = fleet.simulation();
        usual = simulation.network().settings();
    }

    @Override
    public boolean perform(ScenarioStep step, Function<String, Set<String>> names) {
        switch (step.verb()) {
            case "start" -> names.apply(step.word(0)).forEach(fleet::start);
            case "kill" -> down(step, names, fleet::kill);
            case "power" -> down(step, names, fleet::losePower);
            case "wipe" -> down(step, names, fleet::wipe);
            case "retire" -> names.apply(step.word(0)).forEach(fleet::retire);
            case "disk-full" -> names.apply(step.word(0))
                    .forEach(name -> fleet.disk(name).fillUntil(simulation.now() + step.duration()));
            case "disk-stall" -> names.apply(step.word(0))
                    .forEach(name -> fleet.disk(name).stallUntil(simulation.now() + step.duration()));
            case "loss", "duplicate", "delay" -> harm(step);
            default -> {
                note(step, names);
                return false;
            }
        }
        return true;
    }

    private void down(ScenarioStep step, Function<String, Set<String>> names, Consumer<String> end) {
        Set<String> chosen = new LinkedHashSet<>(names.apply(step.word(0)));
        chosen.removeIf(name -> !simulation.running(name));
        chosen.forEach(end);
        if (step.duration() > 0) {
            simulation.at(simulation.now() + step.duration(), () -> chosen.forEach(fleet::start));
        }
    }

    private void note(ScenarioStep step, Function<String, Set<String>> names) {
        switch (step.verb()) {
            case "freeze", "cut" -> beginAndEnd(names.apply(step.word(0)), step.duration());
            case "heal" -> fleet.touch().onEvent(simulation.names());
            case "clock" -> fleet.touch().onEvent(names.apply(step.word(0)));
            default -> { }
        }
        if (step.verb().equals("cut")) {
            beginAndEnd(names.apply(step.word(2)), step.duration());
        }
    }

    /** Several may hold at once; each ends by itself. */
    private void harm(ScenarioStep step) {
        long until = step.duration() == 0 ? Long.MAX_VALUE : simulation.now() + step.duration();
        fleet.touch().onNetwork(until);
        harms.add(step);
        applyHarms();
        simulation.at(until, () -> {
            harms.remove(step);
            applyHarms();
        });
    }

    private void applyHarms() {
        NetworkSettings settings = usual;
        for (ScenarioStep harm : harms) {
            double figure = Double.parseDouble(harm.word(0));
            settings = switch (harm.verb()) {
                case "loss" -> settings.withLoss(Math.max(figure, settings.loss()));
                case "duplicate" -> settings.withDuplication(Math.max(figure, settings.duplication()));
                default -> settings.withDelay((long) (figure * Simulation.SECOND),
                        (long) (Double.parseDouble(harm.word(1)) * Simulation.SECOND));
            };
        }
        simulation.network().change(settings);
    }

    private void beginAndEnd(Collection<String> names, long duration) {
        fleet.touch().onEvent(names);
        if (duration > 0) {
            simulation.at(simulation.now() + duration, () -> fleet.touch().onEvent(names));
        }
    }
}
