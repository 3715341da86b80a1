package burlarch.simulation.scenario;

import java.util.Set;
import java.util.function.Function;

/** Steps that only one kind of simulation knows, or knows better. */
public interface ScenarioStepHandler {
    /**
     * Performs a step now.
     *
     * @param names the machines that a word of the step stands for
     * @return false where the verb is none of these
     */
    boolean perform(ScenarioStep step, Function<String, Set<String>> names);
}
