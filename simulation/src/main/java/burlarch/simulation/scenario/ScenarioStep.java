package burlarch.simulation.scenario;

import java.util.List;

/**
 * A timed action of a scenario.
 *
 * @param line line number in the scenario's text, from 1
 * @param timeNanos virtual time at which it is performed
 * @param verb kind of action, such as {@code cut}
 * @param arguments the words after the verb, without the duration
 * @param durationNanos duration of its effect; 0 if the step specifies none
 */
public record ScenarioStep(int line, long timeNanos, String verb, List<String> arguments, long durationNanos) {
    /** Returns the argument at a zero-based index. Throws IllegalArgumentException if it is missing. */
    public String argument(int index) {
        if (index >= arguments.size()) {
            throw new IllegalArgumentException("line " + line + ": something is missing after " + verb);
        }
        return arguments.get(index);
    }
}
