package burlarch.simulation.scenario;

import burlarch.simulation.SimulatedNode;
import java.util.List;

/** Evaluates the expectations of a scenario for one kind of process, and defines their verbs. */
public interface ExpectationEvaluator {
    /**
     * Returns whether an expectation holds now for a running process. Throws IllegalArgumentException if this kind of
     * process does not support the verb or an argument.
     */
    boolean holds(SimulatedNode node, String verb, List<String> arguments);
}
