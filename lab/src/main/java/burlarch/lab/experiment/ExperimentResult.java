package burlarch.lab.experiment;

import burlarch.audit.Verdict;
import burlarch.lab.load.LoadResult;
import java.util.List;
import java.util.Map;

/**
 * Result of one run of an experiment.
 *
 * @param figures of the load, the proxies and the fleet, by the names that thresholds use
 * @param timelineEvents events for the plots
 * @param nodeLoad requests per second at each node, indexed by the second since the load's start
 */
public record ExperimentResult(
        ExperimentPlan plan,
        LoadResult load,
        Verdict verdict,
        Map<String, Double> figures,
        List<Threshold.Check> thresholds,
        List<TimelineEvent> timelineEvents,
        Map<String, List<ResourceSampler.Sample>> usage,
        Map<String, int[]> nodeLoad) {
    /**
     * An event of the run.
     *
     * @param timeS seconds after the start of the load
     */
    public record TimelineEvent(double timeS, String text) {}

    /** Returns the exit code: 0, or 1 if a rule or a threshold is violated or the run is invalid. */
    public int status() {
        return verdict.passed() && load.valid() && thresholds.stream().allMatch(Threshold.Check::held) ? 0 : 1;
    }
}
