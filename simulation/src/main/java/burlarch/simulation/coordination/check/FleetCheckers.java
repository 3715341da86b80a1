package burlarch.simulation.coordination.check;

import burlarch.controller.state.SystemState;
import burlarch.coordination.register.ProposalNumber;
import burlarch.simulation.Simulation;

/** All checkers of one simulated fleet, and the log of the violations that they find. */
public final class FleetCheckers {
    private final ViolationLog violations;
    private final CommittedChainChecker chain;
    private final OperatorChecker operators;
    private final EngineOrderChecker orders;
    private final RouterChecker routers;
    private final InstanceChecker instances;

    /** Creates the checkers; those that check at intervals start with the simulation. */
    public FleetCheckers(Simulation simulation, Connectivity connectivity) {
        violations = new ViolationLog(simulation);
        chain = new CommittedChainChecker(violations);
        operators = new OperatorChecker(violations, chain, connectivity);
        orders = new EngineOrderChecker(violations);
        routers = new RouterChecker(simulation, violations, chain, connectivity);
        instances = new InstanceChecker(simulation, violations, connectivity);
    }

    /** A controller knows that a value is committed. */
    public void onCommitted(String machine, ProposalNumber number, SystemState state) {
        chain.onCommitted(machine, number, state);
        operators.checkNoneRejected(state);
    }

    /** A component threw an exception that its caller doesn't expect. */
    public void onUnexpectedException(String machine, Throwable exception) {
        StackTraceElement[] trace = exception.getStackTrace();
        String origin = trace.length > 0 ? " " + trace[0] : "";
        violations.add(Rule.NO_UNEXPECTED_EXCEPTION, machine + ": " + exception + origin);
    }

    /** The violations of all rules. */
    public ViolationLog violations() {
        return violations;
    }

    /** Verifies what operators may rely on. */
    public OperatorChecker operators() {
        return operators;
    }

    /** Verifies the orders that engines are sent. */
    public EngineOrderChecker orders() {
        return orders;
    }

    /** Verifies what routers apply. */
    public RouterChecker routers() {
        return routers;
    }

    /** Verifies which instances routers list. */
    public InstanceChecker instances() {
        return instances;
    }
}
