package burlarch.routing;

import java.util.Map;

/**
 * Settings of a planner, fixed at its start.
 *
 * @param zone in which this router runs
 * @param regionOfZone region of each zone; a zone without an entry is a region of its own
 * @param retryBudget allowed retries as a fraction of the first attempts
 * @param budgetWindowSeconds length of the sliding window in which retries and first attempts are counted
 * @param budgetSlack retries that all routers together may make in each window beyond that fraction
 * @param weightsUpdateMillis time within which all engines must serve newly announced weights
 * @param priorities value of the Priority header for ranks 0, 1, ...; ranks beyond the last entry use the last entry
 * @param rejectBeyondLatencyTargets a request is rejected if its first event is expected later than this multiple of
 *     the latency target; 0 for never
 */
public record PlannerSettings(
        String zone,
        Map<String, String> regionOfZone,
        double retryBudget,
        double budgetWindowSeconds,
        double budgetSlack,
        long weightsUpdateMillis,
        int[] priorities,
        double rejectBeyondLatencyTargets) {
    private static final int LOWEST_PRIORITY = 9;

    /**
     * Returns settings in which the priority equals the rank, and a request is rejected if its first event is expected
     * later than the latency target.
     */
    public static PlannerSettings of(
            String zone,
            Map<String, String> regionOfZone,
            double retryBudget,
            double budgetWindowSeconds,
            double budgetSlack,
            long weightsUpdateMillis) {
        return new PlannerSettings(
                zone,
                regionOfZone,
                retryBudget,
                budgetWindowSeconds,
                budgetSlack,
                weightsUpdateMillis,
                new int[] {0, 1, 2, 3, 4, 5, 6, 7, 8, 9},
                1);
    }

    /** Returns the priority of a rank, from 0 to 9. Any rank is accepted. */
    public int priorityOf(int rank) {
        int index = Math.max(0, Math.min(priorities.length - 1, rank));
        return Math.max(0, Math.min(LOWEST_PRIORITY, priorities[index]));
    }

    /**
     * Returns the relative cost of a KV transfer between two zones: 1 within a zone, 2 within a region, 10 across
     * regions. A null {@code from} counts as the same zone.
     */
    public double distance(String from, String to) {
        if (from == null || from.equals(to)) {
            return 1;
        }
        String region = regionOfZone.get(from);
        return region != null && region.equals(regionOfZone.get(to)) ? 2 : 10;
    }
}
