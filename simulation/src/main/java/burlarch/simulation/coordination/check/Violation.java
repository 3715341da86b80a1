package burlarch.simulation.coordination.check;

import burlarch.simulation.Simulation;
import java.util.Locale;

/**
 * A violation of a rule that a checker detected.
 *
 * @param atNanos virtual time at which the checker detected it
 * @param detail human-readable description of what happened, with the machines involved
 */
public record Violation(Rule rule, long atNanos, String detail) {
    @Override
    public String toString() {
        double seconds = (double) atNanos / Simulation.SECOND;
        return rule.id() + " at " + String.format(Locale.ROOT, "%.3f", seconds) + " s: " + detail;
    }
}
