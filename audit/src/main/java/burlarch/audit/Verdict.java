package burlarch.audit;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * What an audit found.
 *
 * @param breaches       the first of them, in the order of the rules
 * @param counts         how many of each rule, beyond what {@code breaches} holds too
 * @param giveUpNanos    from giving a request up to its refusal or failure, sorted: a distribution
 * @param requests       how many requests were looked at
 * @param attempts       how many attempts
 * @param leftOut        records missing: the verdict is then no pass
 */
public record Verdict(
        List<Breach> breaches,
        Map<Breach.Rule, Integer> counts,
        long[] giveUpNanos,
        int requests,
        int attempts,
        long leftOut) {
    public boolean passed() {
        return counts.isEmpty() && leftOut == 0;
    }

    /** @return nanoseconds, 0 where nothing was given up */
    public long giveUpPercentile(double percent) {
        if (giveUpNanos.length == 0) {
            return 0;
        }
        int at = (int) Math.ceil(percent / 100 * giveUpNanos.length) - 1;
        return giveUpNanos[Math.max(0, Math.min(giveUpNanos.length - 1, at))];
    }

    /** A line an operator can read. */
    public String summary() {
        if (passed()) {
            return "rules kept: " + requests + " requests, " + attempts + " attempts";
        }
        Map<Breach.Rule, Integer> sorted = new EnumMap<>(Breach.Rule.class);
        sorted.putAll(counts);
        return (counts.isEmpty() ? "no verdict" : "rules broken: " + sorted)
                + (leftOut > 0 ? ", " + leftOut + " records are missing" : "");
    }
}
