package burlarch.simulation.coordination.check;

import burlarch.simulation.Simulation;
import java.util.Locale;

/**
 * A rule that was seen to be violated.
 *
 * @param atNanos virtual time at which the checker saw it
 * @param detail who did what, for a reader
 */
public record Violation(Rule rule, long atNanos, String detail) {
    @Override
    public String toString() {
        double seconds = (double) atNanos / Simulation.SECOND;
        return rule.id() + " at " + String.format(Locale.ROOT, "%.3f", seconds) + " s: " + detail;
    }
}
