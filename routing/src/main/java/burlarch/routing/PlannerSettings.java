package burlarch.routing;

import java.util.Map;

/**
 * Settings of a planner, fixed at its start.
 *
 * @param zone in which this router runs
 * @param regionOfZone region of each zone; a zone that is missing counts as a region of its own
 * @param retryBudget retries allowed for each first attempt, as a fraction
 * @param budgetWindowSeconds length of the sliding window in which both are counted
 * @param budgetSlack retries that the whole fleet may make beyond that fraction in each window
 * @param versionMillis within which all engines must serve newly announced weights
 * @param priorities value of the Priority header for ranks 0, 1, ...; ranks beyond the last use the last
 * @param refuseBeyondLatencyTargets a request is rejected if its first event is expected to take longer than so many
 *     latency targets; 0 for never
 */
public record PlannerSettings(
        String zone,
        Map<String, String> regionOfZone,
        double retryBudget,
        double budgetWindowSeconds,
        double budgetSlack,
        long versionMillis,
        int[] priorities,
        double refuseBeyondLatencyTargets) {
    private static final int LOWEST_PRIORITY = 9;

    /**
     * Settings with each rank as its own priority, and with rejection of what is expected to take longer than
     * one latency target.
     */
    public static PlannerSettings of(
            String zone,
            Map<String, String> regionOfZone,
            double retryBudget,
            double budgetWindowSeconds,
            double budgetSlack,
            long versionMillis) {
        return new PlannerSettings(
                zone,
                regionOfZone,
                retryBudget,
                budgetWindowSeconds,
                budgetSlack,
                versionMillis,
                new int[] {0, 1, 2, 3, 4, 5, 6, 7, 8, 9},
                1);
    }

    /** The priority of a rank, from 0 to 9, for any rank. */
    public int priorityOf(int rank) {
        int index = Math.max(0, Math.min(priorities.length - 1, rank));
        return Math.max(0, Math.min(LOWEST_PRIORITY, priorities[index]));
    }

    /** Relative cost of a KV transfer between two zones: 1 within a zone, 2 within a region, 10 across regions. */
    public double distance(String from, String to) {
        if (from == null || from.equals(to)) {
            return 1;
        }
        String region = regionOfZone.get(from);
        return region != null && region.equals(regionOfZone.get(to)) ? 2 : 10;
    }
}
