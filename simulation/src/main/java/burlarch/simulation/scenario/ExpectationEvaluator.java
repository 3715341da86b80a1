package burlarch.simulation.scenario;

import burlarch.simulation.SimulatedNode;
import java.util.List;

/** Says whether an expectation holds, in the words of the part that is played. */
public interface ExpectationEvaluator {
    /** Whether it holds now for this running process; throws IllegalArgumentException for unknown words. */
    boolean holds(SimulatedNode node, String verb, List<String> words);
}
