package burlarch.simulation.coordination;

import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.check.Rule;
import burlarch.simulation.coordination.check.Violation;
import burlarch.simulation.coordination.check.ViolationLog;
import burlarch.simulation.coordination.fleet.CoordinationFleet;
import burlarch.simulation.coordination.fleet.FleetStepHandler;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.simulation.coordination.plan.FleetTimings;
import burlarch.simulation.scenario.Scenario;
import burlarch.simulation.scenario.ScenarioRunner;
import java.util.List;
import java.util.Optional;

/** Runner of one scenario that collects the violations that the checkers detect. */
public final class CoordinationRun {
    /** Length of the last part of a run, in which a change has to be acknowledged and a read answered. */
    private static final long PROGRESS_NANOS = 4 * Simulation.SECOND;

    /**
     * The result of a run.
     *
     * @param violations violations of rules, in order of detection
     * @param acknowledged number of configuration changes that were acknowledged to operators
     * @param orders number of orders sent to engines
     * @param routerChecks number of delayed checks of a connected router after acknowledgements
     */
    public record Result(List<Violation> violations, int acknowledged, int orders, int routerChecks) {
        /** Returns the rule that was violated first; empty if there is no violation. */
        public Optional<Rule> firstViolatedRule() {
            return violations.stream().findFirst().map(Violation::rule);
        }
    }

    private CoordinationRun() {}

    /**
     * Runs a scenario on the caller's thread.
     *
     * @param overrides substitutes for components of the nodes
     */
    public static Result play(CoordinationScenario scenario, ComponentOverrides overrides) {
        CoordinationFleet fleet = new CoordinationFleet(scenario.plan(), overrides);
        Simulation simulation = fleet.simulation();
        long endNanos = scenario.plan().seconds() * Simulation.SECOND;
        simulation.schedule(0, fleet::startAll);
        simulation.schedule(endNanos - FleetTimings.FAULT_FREE_SECONDS * Simulation.SECOND, () -> endAllFaults(fleet));
        Scenario steps = Scenario.parse(String.join("\n", scenario.faultSteps()));
        new ScenarioRunner(simulation, steps, (node, verb, arguments) -> true, new FleetStepHandler(fleet)).run();
        simulation.runUntil(endNanos);
        checkProgress(fleet, endNanos);
        return new Result(
                fleet.checkers().violations().violations(),
                fleet.checkers().operators().acknowledgedCount(),
                fleet.checkers().orders().orderCount(),
                fleet.checkers().routers().checkCount());
    }

    private static void endAllFaults(CoordinationFleet fleet) {
        fleet.simulation().network().healAll();
        fleet.connectivity().onFault(fleet.machinesInUse());
        fleet.startAll();
    }

    private static void checkProgress(CoordinationFleet fleet, long endNanos) {
        ViolationLog violations = fleet.checkers().violations();
        long acknowledgedNanos = fleet.operatorState().lastAcknowledgedNanos();
        if (acknowledgedNanos < endNanos - PROGRESS_NANOS) {
            violations.add(
                    Rule.PROGRESS,
                    "the last change was acknowledged at " + acknowledgedNanos / Simulation.MILLISECOND + " ms");
        }
        long readNanos = fleet.operatorState().lastReadNanos();
        if (readNanos < endNanos - PROGRESS_NANOS) {
            violations.add(
                    Rule.PROGRESS, "the last read was answered at " + readNanos / Simulation.MILLISECOND + " ms");
        }
    }
}
