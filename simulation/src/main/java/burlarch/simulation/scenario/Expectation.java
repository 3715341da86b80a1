package burlarch.simulation.scenario;

import java.util.List;

/**
 * A condition that has to hold at one moment, or throughout a span of time.
 *
 * @param line number in the scenario's text, from 1
 * @param fromNanos begin of the span
 * @param toNanos end of the span; the same as {@code fromNanos} for a moment
 * @param machines selector of the machines for which it has to hold, as far as a process runs there and isn't frozen
 * @param verb what is expected, such as {@code see}
 * @param arguments the words after the verb
 */
public record Expectation(
        int line, long fromNanos, long toNanos, String machines, String verb, List<String> arguments) {
    @Override
    public String toString() {
        return "line " + line + ": " + machines + " " + verb + " " + String.join(" ", arguments);
    }
}
