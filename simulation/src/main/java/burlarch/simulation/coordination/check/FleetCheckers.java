package burlarch.simulation.coordination.check;

import burlarch.controller.state.SystemState;
import burlarch.coordination.register.ProposalNumber;
import burlarch.simulation.Simulation;

/** The checkers of one simulated fleet and their shared log of violations. */
public final class FleetCheckers {
    private final ViolationLog violations;
    private final CommittedChainChecker chain;
    private final OperatorChecker operators;
    private final EngineOrderChecker orders;
    private final RouterChecker routers;
    private final InstanceChecker instances;

    /** Creates the checkers and schedules those that check periodically. */
    public FleetCheckers(Simulation simulation, Connectivity connectivity) {
        violations = new ViolationLog(simulation);
        chain = new CommittedChainChecker(violations);
        operators = new OperatorChecker(violations, chain, connectivity);
        orders = new EngineOrderChecker(violations);
        routers = new RouterChecker(simulation, violations, chain, connectivity);
        instances = new InstanceChecker(simulation, violations, connectivity);
    }

    /** Reports to the checkers that a controller learned a committed value. */
    public void onCommitted(String machine, ProposalNumber number, SystemState state) {
        chain.onCommitted(machine, number, state);
        operators.checkNoneRejected(state);
    }

    /** Records an exception that a component threw and its caller does not expect. */
    public void onUnexpectedException(String machine, Throwable exception) {
        StackTraceElement[] trace = exception.getStackTrace();
        String origin = trace.length > 0 ? " " + trace[0] : "";
        violations.add(Rule.NO_UNEXPECTED_EXCEPTION, machine + ": " + exception + origin);
    }

    /** Returns the log of the violations of all rules. */
    public ViolationLog violations() {
        return violations;
    }

    /** Returns the checker of the guarantees to operators. */
    public OperatorChecker operators() {
        return operators;
    }

    /** Returns the checker of the orders sent to engines. */
    public EngineOrderChecker orders() {
        return orders;
    }

    /** Returns the checker of what routers apply. */
    public RouterChecker routers() {
        return routers;
    }

    /** Returns the checker of the instances that routers list. */
    public InstanceChecker instances() {
        return instances;
    }
}
