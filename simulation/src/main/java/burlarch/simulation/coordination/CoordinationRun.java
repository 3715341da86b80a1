package burlarch.simulation.coordination;

import burlarch.simulation.Simulation;
import burlarch.simulation.scenario.Scenario;
import burlarch.simulation.scenario.ScenarioRunner;
import java.util.List;

/** Plays one scenario and judges it. */
public final class CoordinationRun {
    /** How long before the end whatever has lasted until then is over. */
    static final int FAULT_FREE_SECONDS = 14;
    /** How long before the end a last fault may be over, at the latest. */
    static final int CLOSING_FAULT_SECONDS = 10;

    /** An acknowledgement and a read have to fall into this last part. */
    private static final long GOES_ON_NANOS = 4 * Simulation.SECOND;

    /**
     * How it went.
     *
     * @param violations one line each, the name of the rule first
     * @param acknowledged changes of the configuration that operators got acknowledged
     * @param orders that engines were sent
     * @param routerChecks how often a router in touch was looked at after an acknowledgement
     */
    public record Result(List<String> violations, int acknowledged, int orders, int routerChecks) {
        /** The rule that was broken first; null where all were kept. */
        public String firstViolatedRule() {
            return violations.isEmpty() ? null : ViolationLog.rule(violations.get(0));
        }
    }

    private CoordinationRun() {}

    /** Plays with these parts replaced. */
    public static Result play(CoordinationScenario scenario, ComponentOverrides doubles) {
        CoordinationFleet fleet = new CoordinationFleet(scenario.plan(), doubles);
        Simulation simulation = fleet.simulation();
        long end = scenario.plan().seconds() * Simulation.SECOND;
        simulation.schedule(0, fleet::startAll);
        simulation.schedule(end - FAULT_FREE_SECONDS * Simulation.SECOND, () -> {
            simulation.network().healAll();
            fleet.connectivity().onFault(fleet.names());
            fleet.startAll();
        });
        Scenario steps = Scenario.parse(String.join("\n", scenario.faultSteps()));
        new ScenarioRunner(simulation, steps, (node, verb, words) -> true, new FleetStepHandler(fleet)).run();
        simulation.runUntil(end);
        checkProgress(fleet, end);
        return new Result(
                fleet.checkers().violations().violations(),
                fleet.checkers().operators().acknowledgedCount(),
                fleet.checkers().orders().orderCount(),
                fleet.checkers().routers().checkCount());
    }

    private static void checkProgress(CoordinationFleet fleet, long end) {
        if (fleet.operatorState().lastAcknowledgedAt() < end - GOES_ON_NANOS) {
            fleet.checkers()
                    .violations()
                    .add(
                            FleetCheckers.STUCK,
                            "the last change was acknowledged at "
                                    + fleet.operatorState().lastAcknowledgedAt() / Simulation.MILLISECOND + " ms");
        }
        if (fleet.operatorState().lastReadAt() < end - GOES_ON_NANOS) {
            fleet.checkers()
                    .violations()
                    .add(
                            FleetCheckers.STUCK,
                            "the last read came back at "
                                    + fleet.operatorState().lastReadAt() / Simulation.MILLISECOND + " ms");
        }
    }
}
