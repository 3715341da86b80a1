package burlarch.simulation.coordination.fleet;

import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.node.EventTriggers;
import burlarch.simulation.scenario.Scenario;
import burlarch.simulation.scenario.ScenarioStep;
import burlarch.simulation.scenario.ScenarioStepHandler;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;

/**
 * Handler of the scenario steps that act on a fleet. Reports every fault to {@link CoordinationFleet#connectivity}. WHO
 * may also be a selector of {@link ControllerSelectors}. Stored scenarios use these words, so they do not change.
 *
 * <pre>
 * at T power WHO [for D]           (power loss: unsynced data is lost; restarted after D)
 * at T wipe WHO [for D]            (the same, and its disk is erased)
 * at T term WHO [for D]            (SIGTERM; restarted after D)
 * at T remove WHO                  (SIGTERM; then retired permanently with its disk)
 * at T retire WHO                  (retired permanently with its disk)
 * at T replace WHO SPARE S         (retired; the spare controller starts S seconds later)
 * at T exchange WHO SPARE S        (planned: the spare controller starts; WHO is removed S seconds later)
 * at T freeze WHO for D            at T slow WHO for D            (frozen for four fifths of the time)
 * at T disk-full WHO for D         at T disk-stall WHO for D      at T disk-slow WHO TIMES for D
 * at T clock WHO SECONDS [for D]   (its wall clock steps, and back)
 * at T cut WHO from WHO [for D]    at T cut WHO to WHO [for D]    (partition both ways; one way)
 * at T hold WHO to WHO for D       (messages arrive after the end, some of them seconds late)
 * at T late-copies SHARE for D     (probability that a call's message arrives once more, seconds late)
 * at T break WHO SHARE             (closes each of its connections with this probability)
 * at T hup WHO                     (SIGHUP)
 * at T seeds WHO                   (the settings name these first)
 * at T lure WHO for D              (some instances, and all that are ending, call this controller first)
 * at T drain WHO                   (instances)
 * at T call KIND WHO|any [hard]    (put, race, invalid, large, weights: an operator's next call)
 * at T lose-answers SHARE for D    (probability that a response to an operator is lost)
 * at T when EVENT S STEP [for D]   (S seconds after the next EVENT of {@link EventTriggers}, within a second)
 * </pre>
 */
public final class FleetStepHandler implements ScenarioStepHandler {
    /** A {@code when} step is dropped if its event comes later than this. */
    private static final long MAX_EVENT_WAIT_NANOS = Simulation.SECOND;
    /** Words of a {@code when} step before the step to perform: the event and the delay. */
    private static final int WORDS_BEFORE_STEP = 2;

    private final CoordinationFleet fleet;
    private final Simulation simulation;
    private final List<ScenarioStepHandler> handlers;

    /** Creates the handler of a fleet. */
    public FleetStepHandler(CoordinationFleet fleet) {
        this.fleet = fleet;
        simulation = fleet.simulation();
        handlers = List.of(
                new ProcessStepHandler(fleet),
                new MachineStepHandler(fleet),
                new NetworkStepHandler(fleet),
                new CallStepHandler(fleet));
    }

    @Override
    public boolean perform(ScenarioStep step, Function<String, Set<String>> machines) {
        if (step.verb().equals("when")) {
            performAtNextEvent(step, machines);
            return true;
        }
        Function<String, Set<String>> withSelectors = selector -> select(selector, machines);
        return handlers.stream().anyMatch(handler -> handler.perform(step, withSelectors));
    }

    private Set<String> select(String selector, Function<String, Set<String>> machines) {
        Set<String> selected = new LinkedHashSet<>();
        for (String part : selector.split(",")) {
            selected.addAll(
                    ControllerSelectors.isSelector(part) ? fleet.selectors().select(part) : machines.apply(part));
        }
        return selected;
    }

    private void performAtNextEvent(ScenarioStep step, Function<String, Set<String>> machines) {
        EventTriggers.Event event = EventTriggers.Event.valueOf(step.argument(0).toUpperCase(Locale.ROOT));
        long delayNanos = Scenario.parseSeconds(step.argument(1));
        ScenarioStep stepAfterEvent = new ScenarioStep(
                step.line(),
                step.timeNanos(),
                step.argument(WORDS_BEFORE_STEP),
                step.arguments().subList(WORDS_BEFORE_STEP + 1, step.arguments().size()),
                step.durationNanos());
        long armedNanos = simulation.now();
        fleet.triggers().await(event, () -> {
            if (simulation.now() - armedNanos <= MAX_EVENT_WAIT_NANOS) {
                simulation.scheduleAfter(delayNanos, () -> perform(stepAfterEvent, machines));
            }
        });
    }
}
