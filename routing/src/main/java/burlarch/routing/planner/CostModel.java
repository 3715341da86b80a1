package burlarch.routing.planner;

import burlarch.routing.RouteRequest;

/** The figures that the schedulers weigh, in one place. Times are nanoseconds. */
public final class CostModel {
    /** Prompt tokens that an engine reads in a millisecond, until its own first events tell. */
    public static final double START_TOKENS_PER_MILLI = 30;
    /** From sending to the first event of a request with nothing to read, until first events tell. */
    public static final long START_BASE_NANOS = 70_000_000L;
    /** What a plain server is taken to need for a request until its answers tell. */
    public static final long START_SERVICE_NANOS = 30_000_000L;
    /** Shared tokens that nobody keeps, from which a request is a fetch. Below lie roundings to blocks. */
    static final int MIN_FETCH_TOKENS = 64;
    /** Further tokens that a source has to keep for a move. */
    static final int MIN_TRANSFER_TOKENS = 17;
    /** Set-up of one move. */
    static final long TRANSFER_SETUP_NANOS = 6_000_000L;
    /** Shared tokens from which a store is asked though it is not known to keep any. */
    static final int MIN_STORE_PROBE_TOKENS = 256;
    /** A move that takes longer than reading may take this part of what is left of the aim. */
    static final double MAX_TRANSFER_FRACTION_OF_TARGET = 0.3;
    /** An engine begins no move that waits for more than two seconds; well before that it pays no more. */
    static final long MAX_TRANSFER_NANOS = 1_000_000_000L;
    /** How many times its own length a move counts: moved memory is priced a little. */
    static final double TRANSFER_WEIGHT = 1.5;
    /** The same for reading what others keep: it costs a hundred times what moving the same tokens does. */
    static final double REDUNDANT_PREFILL_WEIGHT = 12;
    /** Shared tokens from which a store's copy is worth its move. */
    static final int MIN_SAVE_TOKENS = 64;
    /** Counts each nanosecond beyond the aim, on top of itself: late answers lose most of their worth. */
    static final double LATE_WEIGHT = 4;
    /** Counts each nanosecond of waiting for memory, on top: the engine puts running requests back. */
    static final double MEMORY_WEIGHT = 1;
    /** Each request that runs slows the others; this spreads what is alike otherwise. */
    static final long RUNNING_REQUEST_NANOS = 1_500_000L;
    /** Bytes between zones are priced, and a way through another zone can break. */
    static final long OTHER_ZONE_NANOS = 4_000_000L;
    /** An engine that is still warming up is slower by this factor. */
    static final double WARM_UP_FACTOR = 1.5;
    /** What is known of an engine whose events got lost counts for this part. */
    static final double UNCERTAIN_FACTOR = 0.8;
    /** The next engine by rendezvous is taken where the first costs more than the best by this. */
    static final long RENDEZVOUS_SLACK_NANOS = 300_000_000L;
    /** What one engine counts of its running requests' kept tokens: running requests share them. */
    static final double CACHED_TOKENS_MEMORY_FRACTION = 0.5;
    /** Part of the most tokens that a request is taken to put out. */
    static final double EXPECTED_OUTPUT_FRACTION = 0.5;

    private CostModel() {}

    /** The time within which a request earns its full worth, from now; may be below 0. */
    static long latencyTargetLeftNanos(RouteRequest request, long nowNanos) {
        return request.receivedNanos() + request.route().targetLatencyMillis() * 1_000_000L - nowNanos;
    }

    /** One move of so many tokens at one distance. */
    static long transferNanos(int tokens, long tokenBytes, double linkMbps, double distance, double slowness) {
        if (linkMbps <= 0) {
            return Long.MAX_VALUE;
        }
        double bits = 8.0 * tokens * tokenBytes;
        return TRANSFER_SETUP_NANOS + (long) (bits / linkMbps * 1e3 * distance * slowness);
    }

    /** Whether so long a move is better than reading what it brings. */
    static boolean isTransferWorthwhile(double transferNanos, double prefillNanos, long targetLeftNanos) {
        return transferNanos < MAX_TRANSFER_NANOS
                && transferNanos < Math.max(prefillNanos, MAX_TRANSFER_FRACTION_OF_TARGET * targetLeftNanos)
                && transferNanos * TRANSFER_WEIGHT < prefillNanos * REDUNDANT_PREFILL_WEIGHT;
    }

    /** What a first event that comes so late costs, against one that comes at once. */
    static double firstEventCost(double predictedNanos, long targetLeftNanos) {
        return predictedNanos + LATE_WEIGHT * Math.max(0, predictedNanos - Math.max(0, targetLeftNanos));
    }
}
