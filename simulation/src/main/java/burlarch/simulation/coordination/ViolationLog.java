package burlarch.simulation.coordination;

import burlarch.simulation.Simulation;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was seen to break a rule; the rule's name comes first. */
final class ViolationLog {
    private static final int MOST = 50;

    private final Simulation simulation;
    private final List<String> found = new ArrayList<>();

    ViolationLog(Simulation simulation) {
        this.simulation = simulation;
    }

    void add(String rule, String what) {
        if (found.size() < MOST) {
            double seconds = (double) simulation.now() / Simulation.SECOND;
            found.add(rule + " at " + String.format(Locale.ROOT, "%.3f", seconds) + " s: " + what);
        }
    }

    List<String> violations() {
        return List.copyOf(found);
    }

    /** The rule that a line is about. */
    static String rule(String line) {
        return line.substring(0, line.indexOf(' '));
    }
}
