package burlarch.simulation.coordination;

import burlarch.controller.state.SystemState;
import burlarch.coordination.register.ProposalNumber;
import burlarch.simulation.Simulation;

/** All rules of one simulated fleet. */
final class FleetCheckers {
    /** A part threw something that nobody expected. */
    static final String FAILURE = "failure";
    /** Things don't go on after all troubles are over. */
    static final String STUCK = "stuck";

    private final ViolationLog violations;
    private final ChosenChainChecker chain;
    private final OperatorChecker operators;
    private final EngineOrderChecker orders;
    private final RouterChecker routers;
    private final InstanceChecker instances;

    FleetCheckers(Simulation simulation, Connectivity touch) {
        violations = new ViolationLog(simulation);
        chain = new ChosenChainChecker(violations);
        operators = new OperatorChecker(violations, chain, touch);
        orders = new EngineOrderChecker(violations);
        routers = new RouterChecker(simulation, violations, chain, touch);
        instances = new InstanceChecker(simulation, violations, touch);
    }

    void onChosen(String machine, ProposalNumber ballot, SystemState state) {
        chain.onChosen(machine, ballot, state);
        operators.checkNoneRejected(state);
    }

    void onUnexpectedException(String machine, Throwable failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        violations.add(FAILURE, machine + ": " + failure + (trace.length > 0 ? " " + trace[0] : ""));
    }

    ViolationLog violations() {
        return violations;
    }

    ChosenChainChecker chain() {
        return chain;
    }

    OperatorChecker operators() {
        return operators;
    }

    EngineOrderChecker orders() {
        return orders;
    }

    RouterChecker routers() {
        return routers;
    }

    InstanceChecker instances() {
        return instances;
    }
}
