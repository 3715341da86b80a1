package burlarch.simulation.scenario;

import java.util.Set;
import java.util.function.Function;

/** Performs steps that only one kind of simulation knows, or that it performs in its own way. */
public interface ScenarioStepHandler {
    /** A handler that leaves all steps to the built-in ones. */
    ScenarioStepHandler NONE = (step, machines) -> false;

    /**
     * Performs a step now.
     *
     * @param machines resolves a selector of the step to the names of machines
     * @return false where the step's verb is not one of this handler's
     */
    boolean perform(ScenarioStep step, Function<String, Set<String>> machines);
}
