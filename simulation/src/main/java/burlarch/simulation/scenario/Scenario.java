package burlarch.simulation.scenario;

import burlarch.simulation.Simulation;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * A scripted test of a simulation: timed steps that act on it, and expectations about its state. The text form has one
 * statement per line, with times in seconds; {@code #} starts a comment. The keywords are a stored format and must not
 * change.
 *
 * <pre>
 * at T start WHO                     at T kill WHO [for D]        (restarted after D)
 * at T freeze WHO for D              at T clock WHO SECONDS       (steps the wall clock)
 * at T cut WHO from WHO [for D]      at T cut WHO to WHO [for D]  (partition both ways; one way)
 * at T heal                          (ends all partitions)
 * at T loss SHARE [for D]            at T duplicate SHARE [for D] (probability of loss, of duplication)
 * at T delay MIN MAX [for D]         (delays of messages, in seconds)
 * expect by T WHO VERB WORDS         expect from T to T WHO VERB WORDS
 * </pre>
 *
 * <p>WHO selects machines: a name, a prefix followed by {@code *}, {@code all}, or several of these joined by commas.
 * As the second WHO of a cut, {@code others} selects all machines that the first does not. An
 * {@link ExpectationEvaluator} defines the verbs of expectations.
 */
public record Scenario(List<ScenarioStep> steps, List<Expectation> expectations) {
    /** Number of words before the verb of a step: {@code at} and the time. */
    private static final int WORDS_BEFORE_VERB = 2;

    /** Parses a scenario. Throws IllegalArgumentException with the line number if the text is malformed. */
    public static Scenario parse(String text) {
        List<ScenarioStep> steps = new ArrayList<>();
        List<Expectation> expectations = new ArrayList<>();
        String[] lines = text.split("\n");
        for (int i = 0; i < lines.length; i++) {
            String line = lines[i].replaceFirst("#.*", "").trim();
            if (!line.isEmpty()) {
                parseLine(i + 1, Arrays.asList(line.split("\\s+")), steps, expectations);
            }
        }
        return new Scenario(List.copyOf(steps), List.copyOf(expectations));
    }

    /** Returns the virtual time at which all timed effects have ended and all expectations have been evaluated. */
    public long endNanos() {
        long endNanos = 0;
        for (ScenarioStep step : steps) {
            endNanos = Math.max(endNanos, step.timeNanos() + step.durationNanos());
        }
        for (Expectation expectation : expectations) {
            endNanos = Math.max(endNanos, expectation.toNanos());
        }
        return endNanos;
    }

    private static void parseLine(
            int lineNumber, List<String> words, List<ScenarioStep> steps, List<Expectation> expectations) {
        try {
            switch (words.get(0)) {
                case "at" -> steps.add(parseStep(lineNumber, words));
                case "expect" -> expectations.add(parseExpectation(lineNumber, words));
                default -> throw new IllegalArgumentException("neither at nor expect");
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new IllegalArgumentException("line " + lineNumber + ": " + e.getMessage(), e);
        }
    }

    private static ScenarioStep parseStep(int lineNumber, List<String> words) {
        int endIndex = words.size();
        long durationNanos = 0;
        if (endIndex >= WORDS_BEFORE_VERB && words.get(endIndex - 2).equals("for")) {
            durationNanos = parseSeconds(words.get(endIndex - 1));
            endIndex -= 2;
        }
        String verb = words.get(WORDS_BEFORE_VERB).toLowerCase(Locale.ROOT);
        List<String> arguments = List.copyOf(words.subList(WORDS_BEFORE_VERB + 1, endIndex));
        return new ScenarioStep(lineNumber, parseSeconds(words.get(1)), verb, arguments, durationNanos);
    }

    private static Expectation parseExpectation(int lineNumber, List<String> words) {
        boolean isPointInTime = words.get(1).equals("by");
        if (!isPointInTime && !(words.get(1).equals("from") && words.get(3).equals("to"))) {
            throw new IllegalArgumentException("expect by T, or expect from T to T");
        }
        int selectorIndex = isPointInTime ? 3 : 5;
        long fromNanos = parseSeconds(words.get(2));
        long toNanos = isPointInTime ? fromNanos : parseSeconds(words.get(4));
        List<String> arguments = List.copyOf(words.subList(selectorIndex + 2, words.size()));
        return new Expectation(
                lineNumber, fromNanos, toNanos, words.get(selectorIndex), words.get(selectorIndex + 1), arguments);
    }

    /** Converts decimal seconds to nanoseconds. Throws NumberFormatException if the text is not a number. */
    public static long parseSeconds(String seconds) {
        return Math.round(Double.parseDouble(seconds) * Simulation.SECOND);
    }
}
