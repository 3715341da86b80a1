package burlarch.simulation.scenario;

import java.util.List;

/**
 * A condition of a scenario that must hold at one point in time or throughout an interval.
 *
 * @param line line number in the scenario's text, from 1
 * @param fromNanos start of the interval in virtual time
 * @param toNanos end of the interval in virtual time; equal to {@code fromNanos} for a point in time
 * @param machines selector of the machines for which it must hold; machines that are stopped or frozen are ignored
 * @param verb kind of condition, such as {@code see}
 * @param arguments the words after the verb
 */
public record Expectation(
        int line, long fromNanos, long toNanos, String machines, String verb, List<String> arguments) {
    @Override
    public String toString() {
        return "line " + line + ": " + machines + " " + verb + " " + String.join(" ", arguments);
    }
}
