package burlarch.routing;

import java.util.Map;

/**
 * What a planner is told at its start.
 *
 * @param zone where this router runs
 * @param regionOfZone region of each zone; a zone that is missing is taken as a region of its own
 * @param retryBudget further sends allowed for each first send
 * @param budgetWindowSeconds over which they are counted
 * @param budgetSlack further sends of the whole fleet beyond that share
 * @param versionMillis within which all engines take requests on newly named weights
 * @param priorities the Priority header for each rank 0, 1, ...; ranks beyond take the last
 * @param refuseBeyondLatencyTargets a request whose first event would take so many aims is refused, 0 for never
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

    /** Ranks map to themselves, and nothing is refused for its aim's sake unless it is far out of reach. */
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

    public int priorityOf(int rank) {
        int index = Math.max(0, Math.min(priorities.length - 1, rank));
        return Math.max(0, Math.min(LOWEST_PRIORITY, priorities[index]));
    }

    /** How often a move to or from that zone counts: 1 within the zone, 2 within the region, 10 beyond. */
    public double distance(String from, String to) {
        if (from == null || from.equals(to)) {
            return 1;
        }
        String region = regionOfZone.get(from);
        return region != null && region.equals(regionOfZone.get(to)) ? 2 : 10;
    }
}
