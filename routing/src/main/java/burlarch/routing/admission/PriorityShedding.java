package burlarch.routing.admission;

/**
 * Sheds less urgent requests of one service, at one router, in favour of urgent cache misses. Admission control limits
 * cache misses only. Under overload, requests of a rare urgent kind are mostly cache misses and get rejected, while
 * less urgent requests with cached segments are not subject to admission control.
 *
 * <p>While an urgent rank is placed less often than a less urgent one, less urgent requests of comparable length are
 * rejected, and the prompt tokens that they would have prefilled are credited. An urgent cache miss that admission
 * control rejects is placed if the credit covers its tokens.
 *
 * <p>Invariant <em>no additional load</em>: cache misses placed beyond admission control have no more tokens than the
 * less urgent requests that were shed.
 *
 * <p>Counts decay exponentially. Not thread-safe; times are nanoseconds of one monotonic clock.
 */
public final class PriorityShedding {
    private static final int RANKS = 10;
    private static final double DECAY_NANOS = 5e9;
    /** Minimum decayed number of requests of a rank for its placed fraction to be significant. */
    private static final double MIN_PLANNED = 8;
    /** Difference by which the placed fraction of an urgent rank may be lower than that of a less urgent one. */
    private static final double ALLOWED_DIFFERENCE = 0.02;
    /** Maximum number of less urgent requests shed for one urgent cache miss. */
    private static final double MAX_SHED_PER_MISS = 4;
    /** Maximum credit, in urgent cache misses of mean length. */
    private static final double MAX_CREDIT_MISSES = 3;

    private final double[] planned = new double[RANKS];
    private final double[] placed = new double[RANKS];
    /** Cache misses of each rank that admission control rejected, and their tokens. */
    private final double[] rejectedMisses = new double[RANKS];

    private final double[] rejectedMissTokens = new double[RANKS];
    private double creditTokens;
    private long updatedNanos;

    /**
     * Counts the first attempt of a request.
     *
     * @param rank 0 for the most urgent
     * @param wasPlaced false if it was rejected
     */
    public void onPlanned(int rank, boolean wasPlaced, long nowNanos) {
        decay(nowNanos);
        planned[index(rank)]++;
        placed[index(rank)] += wasPlaced ? 1 : 0;
    }

    /**
     * Whether a request is to be shed in favour of a more urgent cache miss. If so, its tokens are credited.
     *
     * @param tokens number of tokens that it would prefill
     */
    public boolean shedsForUrgent(int rank, double tokens, long nowNanos) {
        decay(nowNanos);
        for (int urgentRank = 0; urgentRank < index(rank); urgentRank++) {
            if (isBehind(urgentRank, index(rank)) && isWorthwhile(urgentRank, tokens)) {
                creditTokens += tokens;
                return true;
            }
        }
        return false;
    }

    /**
     * Whether a cache miss that admission control rejected is placed nevertheless. If so, the credit is reduced by its
     * tokens.
     *
     * @param tokens number of tokens that it will prefill
     */
    public boolean placesOnCredit(int rank, double tokens, long nowNanos) {
        decay(nowNanos);
        rejectedMisses[index(rank)]++;
        rejectedMissTokens[index(rank)] += tokens;
        if (creditTokens < tokens) {
            return false;
        }
        creditTokens -= tokens;
        return true;
    }

    private boolean isBehind(int urgentRank, int lessUrgentRank) {
        return planned[urgentRank] > 0
                && planned[lessUrgentRank] >= MIN_PLANNED
                && placed[urgentRank] / planned[urgentRank]
                        < placed[lessUrgentRank] / planned[lessUrgentRank] - ALLOWED_DIFFERENCE;
    }

    private boolean isWorthwhile(int urgentRank, double tokens) {
        if (rejectedMisses[urgentRank] < 1) {
            return false;
        }
        double meanTokens = rejectedMissTokens[urgentRank] / rejectedMisses[urgentRank];
        return tokens * MAX_SHED_PER_MISS >= meanTokens && creditTokens < MAX_CREDIT_MISSES * meanTokens;
    }

    private void decay(long nowNanos) {
        double retainedFraction = Math.exp(-Math.max(0, nowNanos - updatedNanos) / DECAY_NANOS);
        updatedNanos = nowNanos;
        creditTokens *= retainedFraction;
        for (int rank = 0; rank < RANKS; rank++) {
            planned[rank] *= retainedFraction;
            placed[rank] *= retainedFraction;
            rejectedMisses[rank] *= retainedFraction;
            rejectedMissTokens[rank] *= retainedFraction;
        }
    }

    private static int index(int rank) {
        return Math.max(0, Math.min(RANKS - 1, rank));
    }
}
