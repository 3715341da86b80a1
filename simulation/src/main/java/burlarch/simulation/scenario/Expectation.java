package burlarch.simulation.scenario;

import java.util.List;

/**
 * Something that has to hold at a time, or throughout a span.
 *
 * @param line number in the scenario, from 1
 * @param from begin in nanoseconds; the same as {@code to} for a moment
 * @param who the machines for which it has to hold, as far as a process runs there and isn't frozen
 * @param verb what, for instance see
 * @param words what follows the verb
 */
public record Expectation(int line, long from, long to, String who, String verb, List<String> words) {
    @Override
    public String toString() {
        return "line " + line + ": " + who + " " + verb + " " + String.join(" ", words);
    }
}
