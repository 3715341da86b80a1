package burlarch.lab.experiment;

import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Acceptance threshold of an experiment: an exclusive bound on one figure, such as {@code p99_ms < 300}. Settings
 * and reports call it a bar.
 */
public record Threshold(String figure, boolean below, double bound) {
    private static final Pattern SYNTAX = Pattern.compile("\\s*([a-z0-9_.-]+)\\s*([<>])\\s*([0-9.]+)\\s*");

    /**
     * Result of checking a threshold.
     *
     * @param observed the figure of the run
     */
    public record Check(Threshold threshold, double observed, boolean held) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%s: %s, seen %.4g", held ? "held" : "BROKEN", threshold, observed);
        }
    }

    /** @throws IllegalArgumentException if the text is not a threshold */
    public static Threshold parse(String text) {
        Matcher matcher = SYNTAX.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("is not of the form \"p99_ms < 300\": " + text);
        }
        return new Threshold(matcher.group(1), matcher.group(2).equals("<"), Double.parseDouble(matcher.group(3)));
    }

    /** @throws IllegalArgumentException if the run has no such figure */
    Check check(Map<String, Double> figures) {
        Double observed = figures.get(figure);
        if (observed == null) {
            throw new IllegalArgumentException("unknown figure " + figure + "; known figures: " + figures.keySet());
        }
        return new Check(this, observed, below ? observed < bound : observed > bound);
    }

    @Override
    public String toString() {
        return figure + (below ? " < " : " > ") + bound;
    }
}
