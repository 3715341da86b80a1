package burlarch.simulation.scenario;

import java.util.List;

/**
 * Something that has to hold at a time, or throughout a span.
 *
 * @param line number in the scenario, from 1
 * @param fromNanos begin in nanoseconds; the same as {@code toNanos} for a moment
 * @param machines the machines for which it has to hold, as far as a process runs there and isn't frozen
 * @param verb what, for instance see
 * @param arguments what follows the verb
 */
public record Expectation(
        int line, long fromNanos, long toNanos, String machines, String verb, List<String> arguments) {
    @Override
    public String toString() {
        return "line " + line + ": " + machines + " " + verb + " " + String.join(" ", arguments);
    }
}
