package burlarch.routing.planner;

import burlarch.routing.RouteRequest;

/**
 * Constants and formulas by which the schedulers compare instances. Costs are in nanoseconds: the expected time
 * to the first event, plus weighted penalties for what harms other requests.
 */
final class CostModel {
    /** A request is a fetch if it shares at least so many tokens that nobody caches; fewer are block rounding. */
    static final int MIN_FETCH_TOKENS = 64;
    /** Tokens that a transfer has to add to what the engine caches itself: more than one block. */
    static final int MIN_TRANSFER_TOKENS = 17;
    /** Setup time of a transfer. */
    static final long TRANSFER_SETUP_NANOS = 6_000_000L;
    /** Shared tokens from which a store is asked even though it is not known to cache any of them. */
    static final int MIN_STORE_PROBE_TOKENS = 256;
    /** A transfer that takes longer than prefilling may use this fraction of what is left of the latency target. */
    static final double MAX_TRANSFER_FRACTION_OF_TARGET = 0.3;
    /** Engines begin no transfer that has waited over 2 s; transfers this long are not worthwhile well before that. */
    static final long MAX_TRANSFER_NANOS = 1_000_000_000L;
    /** Cost of a nanosecond of transfer: network traffic has a price. */
    static final double TRANSFER_WEIGHT = 1.5;
    /** Cost of a nanosecond of prefilling what others cache: a transfer takes about a hundredth of the time. */
    static final double REDUNDANT_PREFILL_WEIGHT = 12;
    /** Shared tokens from which saving to a store is worth the transfer. */
    static final int MIN_SAVE_TOKENS = 64;
    /** Additional cost of each nanosecond beyond the latency target: late responses lose most of their value. */
    static final double LATE_WEIGHT = 4;
    /** Additional cost of each nanosecond of waiting for memory: the engine preempts running requests. */
    static final double MEMORY_WEIGHT = 1;
    /** Cost of each request at the instance: it slows the others, and the term breaks ties. */
    static final long RUNNING_REQUEST_NANOS = 1_500_000L;
    /** Cost of another zone than the router's: traffic has a price there, and the path has more points of failure. */
    static final long OTHER_ZONE_NANOS = 4_000_000L;
    /**
     * Cost of an engine in the next subset; that of others grows with the logarithm of the distance. It is about what a
     * transfer of cached tokens takes, so that a request stays in the subset where a transfer brings what it needs.
     */
    static final long NEXT_SUBSET_NANOS = 20_000_000L;
    /**
     * Cost of an engine whose weights newer ones are replacing: what begins there soon after they were named loses a
     * fifth of its value. It is below what a late response costs, so that engines with new weights are not flooded.
     */
    static final long SUPERSEDED_WEIGHTS_NANOS = 200_000_000L;
    /** An engine that is warming up is slower by this factor. */
    static final double WARM_UP_FACTOR = 1.5;
    /** Fraction of the indexed tokens that is trusted for an engine whose events were lost. */
    static final double UNCERTAIN_FACTOR = 0.8;
    /** Fraction of cached tokens that does not count as memory of a request: running requests share them. */
    static final double CACHED_TOKENS_MEMORY_FRACTION = 0.5;
    /** Expected output as a fraction of the request's limit of output tokens. */
    static final double EXPECTED_OUTPUT_FRACTION = 0.5;

    private CostModel() {}

    /**
     * Time of one transfer.
     *
     * @param linkMbps nominal link speed; if it is 0 or less, transfers are impossible (Long.MAX_VALUE)
     * @param distance factor by zones, see {@code PlannerSettings.distance}
     * @param slowness factor by recent transfers
     */
    static long transferNanos(int tokens, long tokenBytes, double linkMbps, double distance, double slowness) {
        if (linkMbps <= 0) {
            return Long.MAX_VALUE;
        }
        double bits = 8.0 * tokens * tokenBytes;
        return TRANSFER_SETUP_NANOS + (long) (bits / linkMbps * 1e3 * distance * slowness);
    }

    /** Whether a transfer is better than prefilling the same tokens, with so much left of the latency target. */
    static boolean isTransferWorthwhile(double transferNanos, double prefillNanos, long targetLeftNanos) {
        return transferNanos < MAX_TRANSFER_NANOS
                && transferNanos < Math.max(prefillNanos, MAX_TRANSFER_FRACTION_OF_TARGET * targetLeftNanos)
                && transferNanos * TRANSFER_WEIGHT < prefillNanos * REDUNDANT_PREFILL_WEIGHT;
    }

    /** Cost of a first event that is expected after so long. */
    static double firstEventCost(double predictedNanos, long targetLeftNanos) {
        return predictedNanos + LATE_WEIGHT * Math.max(0, predictedNanos - Math.max(0, targetLeftNanos));
    }

    /** Cost in nanoseconds of an engine so many subsets away: the more routers use it, the less its load is known. */
    static double subsetNanos(int distance) {
        return distance == 0 ? 0 : NEXT_SUBSET_NANOS * Math.log(1 + distance) / Math.log(2);
    }

    /** KV cache that a request uses while it runs, in tokens, less what it shares with other requests. */
    static double memoryTokens(RouteRequest request, int cachedTokens) {
        int prompt = request.totalPromptTokens();
        int cachedOfPrompt = Math.min(cachedTokens, prompt);
        return prompt
                - cachedOfPrompt * CACHED_TOKENS_MEMORY_FRACTION
                + request.maxOutputTokens() * EXPECTED_OUTPUT_FRACTION;
    }
}
