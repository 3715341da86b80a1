package burlarch.routing.admission;

/**
 * Gives urgent fetches of one service the capacity of less urgent requests, by one router. Admission control takes
 * fetches alone. Under overload a rare urgent kind, whose segments are seldom cached, is therefore rejected while
 * less urgent requests, whose segments are cached, pass admission by.
 *
 * <p>While that is so, less urgent requests of comparable length are rejected, and the prompt tokens that they would
 * have prefilled are credited; an urgent fetch that admission control rejects is placed for credited tokens.
 *
 * <p>Invariant <em>no additional load</em>: urgent fetches are placed beyond admission control for no more tokens than
 * less urgent requests were rejected for.
 *
 * <p>Counts decay exponentially. Not thread-safe; times are nanoseconds of one monotonic clock.
 */
public final class UrgencyExchange {
    private static final int RANKS = 10;
    private static final double DECAY_NANOS = 5e9;
    /** Requests of a rank, decayed, from which the fraction of them that is placed counts. */
    private static final double MIN_PLANNED = 8;
    /** By how much the placed fraction of an urgent rank may lie below that of a less urgent one. */
    private static final double ALLOWED_DIFFERENCE = 0.02;
    /** At most so many less urgent requests are rejected for one urgent fetch. */
    private static final double MAX_RATIO = 4;
    /** Bound of the credit, in urgent fetches. */
    private static final double MAX_CREDIT_FETCHES = 3;

    private final double[] planned = new double[RANKS];
    private final double[] placed = new double[RANKS];
    /** Fetches of each rank that admission control rejected, and their tokens. */
    private final double[] rejectedFetches = new double[RANKS];

    private final double[] rejectedFetchTokens = new double[RANKS];
    private double creditTokens;
    private long updatedNanos;

    /**
     * A request was planned for the first time.
     *
     * @param rank 0 for the most urgent
     * @param wasPlaced whether it was placed; false if it was rejected
     */
    public void onPlanned(int rank, boolean wasPlaced, long nowNanos) {
        decay(nowNanos);
        planned[index(rank)]++;
        placed[index(rank)] += wasPlaced ? 1 : 0;
    }

    /**
     * Whether a request is to be rejected in favour of a more urgent fetch. If so its tokens are credited.
     *
     * @param tokens that it would prefill
     */
    public boolean yieldsToUrgent(int rank, double tokens, long nowNanos) {
        decay(nowNanos);
        for (int urgent = 0; urgent < index(rank); urgent++) {
            if (isBehind(urgent, index(rank)) && isWorthwhile(urgent, tokens)) {
                creditTokens += tokens;
                return true;
            }
        }
        return false;
    }

    /**
     * Whether a fetch that admission control rejects is placed nevertheless, for credited tokens.
     *
     * @param tokens that it will prefill
     */
    public boolean placesUrgent(int rank, double tokens, long nowNanos) {
        decay(nowNanos);
        rejectedFetches[index(rank)]++;
        rejectedFetchTokens[index(rank)] += tokens;
        if (creditTokens < tokens) {
            return false;
        }
        creditTokens -= tokens;
        return true;
    }

    private boolean isBehind(int urgent, int lessUrgent) {
        return planned[urgent] > 0
                && planned[lessUrgent] >= MIN_PLANNED
                && placed[urgent] / planned[urgent] < placed[lessUrgent] / planned[lessUrgent] - ALLOWED_DIFFERENCE;
    }

    private boolean isWorthwhile(int urgent, double tokens) {
        if (rejectedFetches[urgent] < 1) {
            return false;
        }
        double meanTokens = rejectedFetchTokens[urgent] / rejectedFetches[urgent];
        return tokens * MAX_RATIO >= meanTokens && creditTokens < MAX_CREDIT_FETCHES * meanTokens;
    }

    private void decay(long nowNanos) {
        double kept = Math.exp(-Math.max(0, nowNanos - updatedNanos) / DECAY_NANOS);
        updatedNanos = nowNanos;
        creditTokens *= kept;
        for (int rank = 0; rank < RANKS; rank++) {
            planned[rank] *= kept;
            placed[rank] *= kept;
            rejectedFetches[rank] *= kept;
            rejectedFetchTokens[rank] *= kept;
        }
    }

    private static int index(int rank) {
        return Math.max(0, Math.min(RANKS - 1, rank));
    }
}
