package burlarch.simulation.coordination.check;

import burlarch.simulation.Simulation;
import java.util.ArrayList;
import java.util.List;

/** Log of the violations of one run, in order of detection, up to {@link #MAX_VIOLATIONS}. */
public final class ViolationLog {
    private static final int MAX_VIOLATIONS = 50;

    private final Simulation simulation;
    private final List<Violation> violations = new ArrayList<>();

    ViolationLog(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Records a violation at the current virtual time; drops it if the log is full. */
    public void add(Rule rule, String detail) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(new Violation(rule, simulation.now(), detail));
        }
    }

    /** Returns an immutable copy of all recorded violations. */
    public List<Violation> violations() {
        return List.copyOf(violations);
    }
}
