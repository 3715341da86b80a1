package burlarch.simulation.scenario;

import java.util.List;

/**
 * Something that a scenario does.
 *
 * @param line number in the scenario, from 1
 * @param time when, in nanoseconds
 * @param verb what, such as cut
 * @param words what follows the verb, without the time span
 * @param duration how long, in nanoseconds; 0 where it lasts
 */
public record ScenarioStep(int line, long time, String verb, List<String> words, long duration) {
    /** A word after the verb; throws IllegalArgumentException where it is missing. */
    public String word(int index) {
        if (index >= words.size()) {
            throw new IllegalArgumentException("line " + line + ": something is missing after " + verb);
        }
        return words.get(index);
    }
}
