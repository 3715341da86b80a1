package burlarch.lab.experiment;

import burlarch.audit.Verdict;
import burlarch.lab.load.LoadResult;
import java.util.List;
import java.util.Map;

/**
 * What one run came to.
 *
 * @param figures     of the load, the proxies and the fleet, by the names that bars use
 * @param marks       what happened when, for the plots
 * @param nodeLoad    requests a second at each node, by second from the load's start
 */
public record Outcome(
        ExperimentPlan plan,
        LoadResult load,
        Verdict verdict,
        Map<String, Double> figures,
        List<Bar.Judged> bars,
        List<Mark> marks,
        Map<String, List<Samples.Sample>> usage,
        Map<String, int[]> nodeLoad) {
    /** Something that happened, so many seconds after the load's start. */
    public record Mark(double s, String text) {}

    /** The exit code: 0, or 1 where a rule or a bar is broken or the run proves nothing. */
    public int status() {
        return verdict.passed() && load.valid() && bars.stream().allMatch(Bar.Judged::held) ? 0 : 1;
    }
}
