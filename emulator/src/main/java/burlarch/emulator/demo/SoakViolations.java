package burlarch.emulator.demo;

import java.util.ArrayList;
import java.util.List;

/** The violations of the rules that a soak has found, in the order in which they were found. Thread-safe. */
final class SoakViolations {
    private final List<Violation> violations = new ArrayList<>();
    private volatile long startNanos = System.nanoTime();

    /**
     * A violated rule.
     *
     * @param subject the request, process or instance that shows it
     * @param seconds after the start of the traffic
     */
    record Violation(String rule, String subject, double seconds, String detail) {}

    /** Begins to count the time. */
    void onTrafficStarted() {
        startNanos = System.nanoTime();
    }

    /** Records a violation that was found now. */
    void add(String rule, String subject, String detail) {
        add(rule, subject, System.nanoTime(), detail);
    }

    /** Records a violation that began at a time of {@link System#nanoTime}. */
    synchronized void add(String rule, String subject, long atNanos, String detail) {
        violations.add(new Violation(rule, subject, (atNanos - startNanos) / 1e9, detail));
    }

    synchronized List<Violation> list() {
        return List.copyOf(violations);
    }
}
