package burlarch.simulation.scenario;

import java.util.List;

/**
 * An action of a scenario.
 *
 * @param line number in the scenario's text, from 1
 * @param timeNanos when it is performed
 * @param verb what is done, such as {@code cut}
 * @param arguments the words after the verb, without the duration
 * @param durationNanos how long its effect lasts; 0 where the step names none
 */
public record ScenarioStep(int line, long timeNanos, String verb, List<String> arguments, long durationNanos) {
    /** An argument by its index, from 0. Throws IllegalArgumentException where it is missing. */
    public String argument(int index) {
        if (index >= arguments.size()) {
            throw new IllegalArgumentException("line " + line + ": something is missing after " + verb);
        }
        return arguments.get(index);
    }
}
