package burlarch.simulation.coordination;

import burlarch.simulation.SimulatedNetwork;
import burlarch.simulation.Simulation;
import burlarch.simulation.scenario.ScenarioStep;
import burlarch.simulation.scenario.ScenarioStepHandler;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * What a scenario may do to a fleet beside the usual steps, and the note of every trouble for {@link Connectivity}.
 * WHO may also name controllers as {@link ControllerSelectors} does.
 *
 * <pre>
 * at T power WHO [for D]           (loses its power, and what was not synced)
 * at T wipe WHO [for D]            (comes back with an empty disk)
 * at T term WHO [for D]            (SIGTERM; started again after D)
 * at T remove WHO                  (SIGTERM; then gone for good, its disk too)
 * at T retire WHO                  (gone for good, its disk too)
 * at T replace WHO SPARE S         (gone for good; the spare controller starts S seconds later)
 * at T exchange WHO SPARE S        (planned: the spare controller starts; WHO is removed S seconds later)
 * at T freeze WHO for D            at T slow WHO for D            (frozen for four fifths of the time)
 * at T disk-full WHO for D         at T disk-stall WHO for D      at T disk-slow WHO TIMES for D
 * at T clock WHO SECONDS [for D]   (its time of day jumps, and back)
 * at T break WHO SHARE             (share of its connections)     at T hup WHO
 * at T seeds WHO                   (the settings name these first)
 * at T lure WHO for D              (some instances, and those that leave, report there first)
 * at T drain WHO                   (instances)
 * at T call KIND WHO|any [hard]    (put, race, invalid, large, weights: an operator's next call)
 * at T lose-answers SHARE for D    (to operators)
 * at T when EVENT S STEP [for D]   (S seconds after the next EVENT of {@link EventTriggers}, within a second)
 * </pre>
 */
final class FleetStepHandler implements ScenarioStepHandler {
    /** Between the SIGTERM of a process and its end. */
    private static final long ENDING_NANOS = 300 * Simulation.MILLISECOND;

    private static final long SLOW_PERIOD_NANOS = 100 * Simulation.MILLISECOND;
    private static final long SLOW_STOP_NANOS = 80 * Simulation.MILLISECOND;
    /** An event that comes later than this is no longer waited for. */
    private static final long LONGEST_WAIT_NANOS = Simulation.SECOND;

    private static final int OPERATORS_IN_RACE = 2;

    private final CoordinationFleet fleet;
    private final Simulation simulation;
    private final NetworkFaults harms;

    FleetStepHandler(CoordinationFleet fleet) {
        this.fleet = fleet;
        simulation = fleet.simulation();
        harms = new NetworkFaults(simulation, fleet.connectivity());
    }

    @Override
    public boolean perform(ScenarioStep step, Function<String, Set<String>> machines) {
        Function<String, Set<String>> names = word -> named(word, machines);
        switch (step.verb()) {
            case "start" -> each(step, names, fleet::start);
            case "kill" -> down(step, names, fleet::kill);
            case "power" -> down(step, names, fleet::losePower);
            case "wipe" -> wipe(step, names);
            case "term" -> terminate(step, names);
            case "remove" -> each(step, names, this::remove);
            case "retire" -> each(step, names, fleet::retire);
            case "replace" -> replace(step, names);
            case "exchange" -> exchange(step, names);
            case "freeze" -> freeze(step, names);
            case "slow" -> slow(step, names);
            case "disk-full", "disk-stall", "disk-slow" -> disk(step, names);
            case "clock" -> clock(step, names);
            case "cut" -> cut(step, names);
            case "break" -> breakConnections(step, names);
            case "hup" -> each(
                    step, names, name -> simulation.signal(name, new NodeSignals.ReloadSeeds(fleet.seeds())));
            case "seeds" -> fleet.setSeeds(List.copyOf(names.apply(step.argument(0))));
            case "lure" -> lure(step, names);
            case "drain" -> each(step, names, name -> simulation.signal(name, new NodeSignals.Drain()));
            case "call" -> call(step, names);
            case "lose-answers" -> loseAnswers(step);
            case "loss", "duplicate", "delay" -> harms.begin(step);
            case "when" -> when(step, machines);
            default -> {
                if (step.verb().equals("heal")) {
                    fleet.connectivity().onFault(simulation.machineNames());
                }
                return false;
            }
        }
        return true;
    }

    private Set<String> named(String word, Function<String, Set<String>> machines) {
        Set<String> named = new LinkedHashSet<>();
        for (String part : word.split(",")) {
            named.addAll(ControllerSelectors.isTarget(part) ? fleet.targets().named(part) : machines.apply(part));
        }
        return named;
    }

    private static void each(ScenarioStep step, Function<String, Set<String>> names, Consumer<String> action) {
        names.apply(step.argument(0)).forEach(action);
    }

    private void later(long nanos, Runnable action) {
        simulation.schedule(simulation.now() + nanos, action);
    }

    private void down(ScenarioStep step, Function<String, Set<String>> names, Consumer<String> end) {
        Set<String> chosen = names.apply(step.argument(0));
        chosen.removeIf(name -> !simulation.isRunning(name));
        chosen.forEach(end);
        startAgain(step, chosen);
    }

    private void startAgain(ScenarioStep step, Set<String> chosen) {
        if (step.durationNanos() > 0) {
            later(step.durationNanos(), () -> chosen.forEach(fleet::start));
        }
    }

    /** Also where no process runs just now: what is lost is the disk. */
    private void wipe(ScenarioStep step, Function<String, Set<String>> names) {
        Set<String> chosen = names.apply(step.argument(0));
        chosen.retainAll(fleet.controllersInUse());
        chosen.forEach(fleet::wipe);
        startAgain(step, chosen);
    }

    private void terminate(ScenarioStep step, Function<String, Set<String>> names) {
        Set<String> chosen = names.apply(step.argument(0));
        chosen.removeIf(name -> !simulation.isRunning(name));
        chosen.forEach(this::signalEnd);
        later(ENDING_NANOS, () -> chosen.forEach(fleet::kill));
        startAgain(step, chosen);
    }

    private void signalEnd(String name) {
        fleet.connectivity().onFault(List.of(name));
        simulation.signal(name, new NodeSignals.Terminate());
    }

    private void remove(String name) {
        signalEnd(name);
        later(ENDING_NANOS, () -> fleet.retire(name));
    }

    private void replace(ScenarioStep step, Function<String, Set<String>> names) {
        Set<String> gone = names.apply(step.argument(0));
        gone.retainAll(fleet.controllersInUse());
        gone.forEach(fleet::retire);
        later(seconds(step.argument(2)), () -> names.apply(step.argument(1)).forEach(fleet::start));
    }

    private void exchange(ScenarioStep step, Function<String, Set<String>> names) {
        Set<String> gone = names.apply(step.argument(0));
        gone.retainAll(fleet.controllersInUse());
        names.apply(step.argument(1)).forEach(fleet::start);
        later(seconds(step.argument(2)), () -> gone.forEach(this::remove));
    }

    private void freeze(ScenarioStep step, Function<String, Set<String>> names) {
        Set<String> chosen = names.apply(step.argument(0));
        beginAndEnd(chosen, step.durationNanos());
        chosen.forEach(name -> simulation.freeze(name, step.durationNanos()));
    }

    private void slow(ScenarioStep step, Function<String, Set<String>> names) {
        Set<String> chosen = names.apply(step.argument(0));
        beginAndEnd(chosen, step.durationNanos());
        for (long at = 0; at < step.durationNanos(); at += SLOW_PERIOD_NANOS) {
            later(at, () -> chosen.forEach(name -> simulation.freeze(name, SLOW_STOP_NANOS)));
        }
    }

    private void disk(ScenarioStep step, Function<String, Set<String>> names) {
        Set<String> chosen = names.apply(step.argument(0));
        long until = simulation.now() + step.durationNanos();
        for (String name : chosen) {
            switch (step.verb()) {
                case "disk-full" -> fleet.disk(name).rejectWritesUntil(until);
                case "disk-stall" -> fleet.disk(name).stallUntil(until);
                default -> {
                    fleet.disk(name).slowDownUntil(until, Integer.parseInt(step.argument(1)));
                    beginAndEnd(chosen, step.durationNanos());
                }
            }
        }
    }

    /** No trouble for {@link Connectivity}: nothing hangs on the time of day. */
    private void clock(ScenarioStep step, Function<String, Set<String>> names) {
        long millis = seconds(step.argument(1)) / Simulation.MILLISECOND;
        Set<String> chosen = names.apply(step.argument(0));
        chosen.forEach(name -> simulation.stepWallClock(name, millis));
        if (step.durationNanos() > 0) {
            later(step.durationNanos(), () -> chosen.forEach(name -> simulation.stepWallClock(name, -millis)));
        }
    }

    private void cut(ScenarioStep step, Function<String, Set<String>> names) {
        Set<String> first = names.apply(step.argument(0));
        Set<String> second = new LinkedHashSet<>(
                step.argument(2).equals("others") ? simulation.machineNames() : names.apply(step.argument(2)));
        second.removeAll(first);
        beginAndEnd(first, step.durationNanos());
        beginAndEnd(second, step.durationNanos());
        SimulatedNetwork network = simulation.network();
        List<SimulatedNetwork.Partition> cuts = step.argument(1).equals("from")
                ? List.of(network.partition(first, second), network.partition(second, first))
                : List.of(network.partition(first, second));
        if (step.durationNanos() > 0) {
            later(step.durationNanos(), () -> cuts.forEach(network::heal));
        }
    }

    private void breakConnections(ScenarioStep step, Function<String, Set<String>> names) {
        Set<String> chosen = names.apply(step.argument(0));
        fleet.connectivity().onFault(chosen);
        double share = Double.parseDouble(step.argument(1));
        chosen.forEach(name -> simulation.signal(name, new NodeSignals.BreakConnections(share)));
    }

    private void lure(ScenarioStep step, Function<String, Set<String>> names) {
        names.apply(step.argument(0)).stream().findFirst().ifPresent(fleet::lureTo);
        later(step.durationNanos(), () -> fleet.lureTo(null));
    }

    private void call(ScenarioStep step, Function<String, Set<String>> names) {
        String controller = step.argument(1).equals("any")
                ? null
                : names.apply(step.argument(1)).stream()
                        .findFirst()
                        .map(fleet::address)
                        .orElse(null);
        boolean persistent = step.arguments().contains("hard");
        boolean race = step.argument(0).equals("race");
        NodeSignals.Call.Kind kind = race
                ? NodeSignals.Call.Kind.PUT
                : NodeSignals.Call.Kind.valueOf(step.argument(0).toUpperCase(Locale.ROOT));
        NodeSignals.Call call = new NodeSignals.Call(kind, controller, persistent);
        simulation.machineNames().stream()
                .filter(name -> simulation.node(name) instanceof OperatorNode)
                .limit(race ? OPERATORS_IN_RACE : 1)
                .forEach(name -> simulation.signal(name, call));
    }

    private void loseAnswers(ScenarioStep step) {
        fleet.operatorState().loseAnswers(Double.parseDouble(step.argument(0)));
        later(step.durationNanos(), () -> fleet.operatorState().loseAnswers(0));
    }

    private void when(ScenarioStep step, Function<String, Set<String>> machines) {
        EventTriggers.Event event = EventTriggers.Event.valueOf(step.argument(0).toUpperCase(Locale.ROOT));
        long delay = seconds(step.argument(1));
        ScenarioStep then = new ScenarioStep(
                step.line(),
                step.timeNanos(),
                step.argument(2),
                step.arguments().subList(3, step.arguments().size()),
                step.durationNanos());
        long armed = simulation.now();
        fleet.triggers().await(event, () -> {
            if (simulation.now() - armed <= LONGEST_WAIT_NANOS) {
                later(delay, () -> perform(then, machines));
            }
        });
    }

    private static long seconds(String word) {
        return Math.round(Double.parseDouble(word) * Simulation.SECOND);
    }

    private void beginAndEnd(Collection<String> names, long duration) {
        List<String> concerned = List.copyOf(names);
        fleet.connectivity().onFault(concerned);
        if (duration > 0) {
            later(duration, () -> fleet.connectivity().onFault(concerned));
        }
    }
}
