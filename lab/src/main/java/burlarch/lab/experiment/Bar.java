package burlarch.lab.experiment;

import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What an experiment must come to, as {@code p99_ms < 300}. */
public record Bar(String figure, boolean below, double bound) {
    private static final Pattern FORM = Pattern.compile("\\s*([a-z0-9_.-]+)\\s*([<>])\\s*([0-9.]+)\\s*");

    /** A bar with what was seen. */
    public record Judged(Bar bar, double seen, boolean held) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%s: %s, seen %.4g", held ? "held" : "BROKEN", bar, seen);
        }
    }

    /** @throws IllegalArgumentException saying what is wrong with the text */
    public static Bar parse(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("is not of the form \"p99_ms < 300\": " + text);
        }
        return new Bar(matcher.group(1), matcher.group(2).equals("<"), Double.parseDouble(matcher.group(3)));
    }

    /** @throws IllegalArgumentException where there is no such figure */
    Judged judge(Map<String, Double> figures) {
        Double seen = figures.get(figure);
        if (seen == null) {
            throw new IllegalArgumentException("no figure " + figure + "; there are " + figures.keySet());
        }
        return new Judged(this, seen, below ? seen < bound : seen > bound);
    }

    @Override
    public String toString() {
        return figure + (below ? " < " : " > ") + bound;
    }
}
