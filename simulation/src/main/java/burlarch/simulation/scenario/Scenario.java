package burlarch.simulation.scenario;

import burlarch.simulation.Simulation;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * A scenario: steps, which act on a simulation, and expectations of it. Its text has one statement a line, with times
 * in seconds; {@code #} starts a comment. The words of the text are a stored form and don't change.
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
 * <p>WHO selects machines: a name, a prefix followed by {@code *}, {@code all}, or several of these joined by commas;
 * {@code others}, as the second WHO of a cut, selects all machines but the first. An {@link ExpectationEvaluator}
 * defines the verbs of expectations.
 */
public record Scenario(List<ScenarioStep> steps, List<Expectation> expectations) {
    /** Words before the verb of a step: {@code at}, and the time. */
    private static final int WORDS_BEFORE_VERB = 2;

    /** Parses a scenario. Throws IllegalArgumentException, with the number of the line, for malformed text. */
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

    /** When the effects of all steps have ended and all expectations have been evaluated. */
    public long endNanos() {
        long end = 0;
        for (ScenarioStep step : steps) {
            end = Math.max(end, step.timeNanos() + step.durationNanos());
        }
        for (Expectation expectation : expectations) {
            end = Math.max(end, expectation.toNanos());
        }
        return end;
    }

    private static void parseLine(
            int number, List<String> words, List<ScenarioStep> steps, List<Expectation> expectations) {
        try {
            switch (words.get(0)) {
                case "at" -> steps.add(parseStep(number, words));
                case "expect" -> expectations.add(parseExpectation(number, words));
                default -> throw new IllegalArgumentException("neither at nor expect");
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new IllegalArgumentException("line " + number + ": " + e.getMessage(), e);
        }
    }

    private static ScenarioStep parseStep(int number, List<String> words) {
        int end = words.size();
        long durationNanos = 0;
        if (end >= WORDS_BEFORE_VERB && words.get(end - 2).equals("for")) {
            durationNanos = parseSeconds(words.get(end - 1));
            end -= 2;
        }
        String verb = words.get(WORDS_BEFORE_VERB).toLowerCase(Locale.ROOT);
        List<String> arguments = List.copyOf(words.subList(WORDS_BEFORE_VERB + 1, end));
        return new ScenarioStep(number, parseSeconds(words.get(1)), verb, arguments, durationNanos);
    }

    private static Expectation parseExpectation(int number, List<String> words) {
        boolean moment = words.get(1).equals("by");
        if (!moment && !(words.get(1).equals("from") && words.get(3).equals("to"))) {
            throw new IllegalArgumentException("expect by T, or expect from T to T");
        }
        int machinesAt = moment ? 3 : 5;
        long from = parseSeconds(words.get(2));
        long to = moment ? from : parseSeconds(words.get(4));
        List<String> arguments = List.copyOf(words.subList(machinesAt + 2, words.size()));
        return new Expectation(number, from, to, words.get(machinesAt), words.get(machinesAt + 1), arguments);
    }

    /** Nanoseconds of a number of seconds. Throws IllegalArgumentException for what is no number. */
    public static long parseSeconds(String seconds) {
        return Math.round(Double.parseDouble(seconds) * Simulation.SECOND);
    }
}
