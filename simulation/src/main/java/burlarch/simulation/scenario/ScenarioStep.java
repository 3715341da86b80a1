package burlarch.simulation.scenario;

import java.util.List;

/**
 * Something that a scenario does.
 *
 * @param line number in the scenario, from 1
 * @param timeNanos when, in nanoseconds
 * @param verb what, such as cut
 * @param arguments what follows the verb, without the time span
 * @param durationNanos how long, in nanoseconds; 0 where it lasts
 */
public record ScenarioStep(int line, long timeNanos, String verb, List<String> arguments, long durationNanos) {
    /** A word after the verb; throws IllegalArgumentException where it is missing. */
    public String argument(int index) {
        if (index >= arguments.size()) {
            throw new IllegalArgumentException("line " + line + ": something is missing after " + verb);
        }
        return arguments.get(index);
    }
}
