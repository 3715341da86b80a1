package burlarch.simulation.coordination;

import burlarch.controller.state.SystemState;
import burlarch.coordination.register.Ballot;
import burlarch.simulation.Simulation;

/** All rules of one simulated fleet. */
final class Rules {
    /** A part threw something that nobody expected. */
    static final String FAILURE = "failure";
    /** Things don't go on after all troubles are over. */
    static final String STUCK = "stuck";

    private final Violations violations;
    private final ChainRule chain;
    private final OperatorRule operators;
    private final OrderRule orders;
    private final RouterRule routers;
    private final InstanceRule instances;

    Rules(Simulation simulation, Touch touch) {
        violations = new Violations(simulation);
        chain = new ChainRule(violations);
        operators = new OperatorRule(violations, chain, touch);
        orders = new OrderRule(violations);
        routers = new RouterRule(simulation, violations, chain, touch);
        instances = new InstanceRule(simulation, violations, touch);
    }

    void onChosen(String machine, Ballot ballot, SystemState state) {
        chain.onChosen(machine, ballot, state);
        operators.check(state);
    }

    void onFailure(String machine, Throwable failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        violations.add(FAILURE, machine + ": " + failure + (trace.length > 0 ? " " + trace[0] : ""));
    }

    Violations violations() {
        return violations;
    }

    ChainRule chain() {
        return chain;
    }

    OperatorRule operators() {
        return operators;
    }

    OrderRule orders() {
        return orders;
    }

    RouterRule routers() {
        return routers;
    }

    InstanceRule instances() {
        return instances;
    }
}
