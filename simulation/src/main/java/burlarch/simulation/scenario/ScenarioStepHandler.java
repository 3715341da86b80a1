package burlarch.simulation.scenario;

import java.util.Set;
import java.util.function.Function;

/** Performs the steps that one kind of simulation adds to the built-in ones or overrides. */
public interface ScenarioStepHandler {
    /** Declines every step, so that only built-in steps are performed. */
    ScenarioStepHandler NONE = (step, machines) -> false;

    /**
     * Performs a step now.
     *
     * @param machines resolves a machine selector to machine names
     * @return whether this handler performed the step; false if it does not handle the verb
     */
    boolean perform(ScenarioStep step, Function<String, Set<String>> machines);
}
