package burlarch.routing.planner;

import burlarch.routing.RouteRequest;

/**
 * Cost model by which the schedulers compare instances. Costs are in nanoseconds: the expected time to the first
 * event, plus weighted penalties for what harms other requests.
 */
final class CostModel {
    /**
     * Minimum shared tokens that no engine caches for a request to count as a cache miss; fewer are block rounding.
     */
    static final int MIN_MISS_TOKENS = 64;
    /** Minimum tokens that a transfer must add to those that the engine caches: more than one block. */
    static final int MIN_TRANSFER_TOKENS = 17;
    /** Setup time of a transfer. */
    static final long TRANSFER_SETUP_NANOS = 6_000_000L;
    /** Minimum shared tokens for probing a store that is not known to cache any of them. */
    static final int MIN_STORE_PROBE_TOKENS = 256;
    /** Fraction of the time left until the latency target that a transfer may take even if prefilling is faster. */
    static final double MAX_TRANSFER_FRACTION_OF_TARGET = 0.3;
    /**
     * Maximum worthwhile duration of a transfer. Engines drop transfers that have waited over 2 s; this limit is well
     * below that.
     */
    static final long MAX_TRANSFER_NANOS = 1_000_000_000L;
    /** Cost of each nanosecond of transfer, because network traffic has a price. */
    static final double TRANSFER_WEIGHT = 1.5;
    /** Cost of each nanosecond of prefilling what others cache; a transfer takes about a hundredth of the time. */
    static final double REDUNDANT_PREFILL_WEIGHT = 12;
    /** Minimum shared tokens for which saving to a store is worth the transfer. */
    static final int MIN_SAVE_TOKENS = 64;
    /**
     * Additional cost of each nanosecond beyond the latency target, because late responses lose most of their value.
     */
    static final double LATE_WEIGHT = 4;
    /** Additional cost of each nanosecond of waiting for memory, because the engine preempts running requests. */
    static final double MEMORY_WEIGHT = 1;
    /** Cost of each request at the instance, because it slows down the others. The term also breaks ties. */
    static final long RUNNING_REQUEST_NANOS = 1_500_000L;
    /**
     * Cost of an instance in another zone: traffic between zones has a price, and the path has more points of failure.
     */
    static final long OTHER_ZONE_NANOS = 4_000_000L;
    /**
     * Cost of an engine in the next subset; the cost of others grows with the logarithm of the distance. It is about
     * the time of a transfer of cached tokens, so a request stays in a subset to which a transfer brings what it
     * needs.
     */
    static final long NEXT_SUBSET_NANOS = 20_000_000L;
    /**
     * Cost of an engine whose weights are being replaced by newer ones: a request that starts there soon after the
     * newer ones were announced loses a fifth of its value. It is below the cost of a late response, so that engines
     * with new weights are not flooded.
     */
    static final long SUPERSEDED_WEIGHTS_NANOS = 200_000_000L;
    /** Factor by which an engine that is warming up is slower. */
    static final double WARM_UP_FACTOR = 1.5;
    /** Fraction of the indexed tokens that is trusted for an engine whose events were lost. */
    static final double UNCERTAIN_FACTOR = 0.8;
    /** Fraction of cached tokens that does not count as memory of a request, because running requests share them. */
    static final double CACHED_TOKENS_MEMORY_FRACTION = 0.5;
    /** Expected output as a fraction of the request's limit of output tokens. */
    static final double EXPECTED_OUTPUT_FRACTION = 0.5;

    private CostModel() {}

    /**
     * Returns the expected time of one transfer.
     *
     * @param linkMbps nominal link speed; if it is 0 or less, transfers are impossible and the result is
     *     Long.MAX_VALUE
     * @param distance cost factor by zones, see {@code PlannerSettings.distance}
     * @param slowdown factor learned from recent transfers
     */
    static long transferNanos(int tokens, long tokenBytes, double linkMbps, double distance, double slowdown) {
        if (linkMbps <= 0) {
            return Long.MAX_VALUE;
        }
        double bits = 8.0 * tokens * tokenBytes;
        return TRANSFER_SETUP_NANOS + (long) (bits / linkMbps * 1e3 * distance * slowdown);
    }

    /** Whether a transfer is better than prefilling the same tokens, given the time left until the latency target. */
    static boolean isTransferWorthwhile(double transferNanos, double prefillNanos, long targetLeftNanos) {
        return transferNanos < MAX_TRANSFER_NANOS
                && transferNanos < Math.max(prefillNanos, MAX_TRANSFER_FRACTION_OF_TARGET * targetLeftNanos)
                && transferNanos * TRANSFER_WEIGHT < prefillNanos * REDUNDANT_PREFILL_WEIGHT;
    }

    /** Returns the cost of a first event that is expected after {@code predictedNanos}. */
    static double firstEventCost(double predictedNanos, long targetLeftNanos) {
        return predictedNanos + LATE_WEIGHT * Math.max(0, predictedNanos - Math.max(0, targetLeftNanos));
    }

    /**
     * Returns the cost in nanoseconds of an engine that is {@code distance} subsets away: the more routers use an
     * engine, the less its load is known.
     */
    static double subsetNanos(int distance) {
        return distance == 0 ? 0 : NEXT_SUBSET_NANOS * Math.log(1 + distance) / Math.log(2);
    }

    /**
     * Returns the KV cache that a request uses while it runs, in tokens, without what it shares with other requests.
     */
    static double memoryTokens(RouteRequest request, int cachedTokens) {
        int prompt = request.totalPromptTokens();
        int cachedOfPrompt = Math.min(cachedTokens, prompt);
        return prompt
                - cachedOfPrompt * CACHED_TOKENS_MEMORY_FRACTION
                + request.maxOutputTokens() * EXPECTED_OUTPUT_FRACTION;
    }
}
