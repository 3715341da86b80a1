package burlarch.audit;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The result of an audit.
 *
 * @param breaches           violations in the order of the rules; a bounded number for each rule
 * @param counts             number of all violations of each rule, including those that {@code breaches} leaves out
 * @param refusalDelaysNanos delays of refusals and failures after the last attempt ended, sorted in ascending order
 * @param requests           number of requests checked
 * @param attempts           number of attempts checked
 * @param droppedRecords     number of dropped records; the audit passes only if it is 0
 */
public record Verdict(
        List<Breach> breaches,
        Map<Breach.Rule, Integer> counts,
        long[] refusalDelaysNanos,
        int requests,
        int attempts,
        long droppedRecords) {
    /** Whether no rule was violated and no record is missing. */
    public boolean passed() {
        return counts.isEmpty() && droppedRecords == 0;
    }

    /**
     * Returns a percentile of {@code refusalDelaysNanos}, by nearest rank.
     *
     * @param percent from 0 to 100
     * @return nanoseconds; 0 if no request was refused or failed
     */
    public long refusalDelayPercentile(double percent) {
        if (refusalDelaysNanos.length == 0) {
            return 0;
        }
        int index = (int) Math.ceil(percent / 100 * refusalDelaysNanos.length) - 1;
        return refusalDelaysNanos[Math.max(0, Math.min(refusalDelaysNanos.length - 1, index))];
    }

    /** Returns the result as one line for operators. */
    public String summary() {
        if (passed()) {
            return "rules kept: " + requests + " requests, " + attempts + " attempts";
        }
        Map<Breach.Rule, Integer> sortedCounts = new EnumMap<>(Breach.Rule.class);
        sortedCounts.putAll(counts);
        return (counts.isEmpty() ? "no verdict" : "rules broken: " + sortedCounts)
                + (droppedRecords > 0 ? ", " + droppedRecords + " records are missing" : "");
    }
}
