package burlarch.simulation.coordination.check;

import burlarch.simulation.Simulation;
import java.util.ArrayList;
import java.util.List;

/** The violations of one run, in the order in which they were seen, up to a limit. */
public final class ViolationLog {
    private static final int MAX_VIOLATIONS = 50;

    private final Simulation simulation;
    private final List<Violation> violations = new ArrayList<>();

    ViolationLog(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Records a violation at the current time; beyond the limit it is dropped. */
    public void add(Rule rule, String detail) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(new Violation(rule, simulation.now(), detail));
        }
    }

    /** All recorded violations. */
    public List<Violation> violations() {
        return List.copyOf(violations);
    }
}
