package burlarch.routing;

/**
 * Whether one instance may get requests. Failures in a row put it in doubt for a pause that doubles; after it
 * a single trial at a time goes out until one is answered. A rejection lets it rest shortly.
 */
final class Health {
    /** Failures are weighed by how surely they tell of the instance and not of one request. */
    private static final int DOUBT_AT = 6;

    private static final int NOT_CONNECTED_WEIGHT = 6;
    private static final int BROKEN_WEIGHT = 3;
    private static final int FAILED_WEIGHT = 2;
    private static final long SHORTEST_PAUSE_NANOS = 1_000_000_000L;
    private static final int MOST_DOUBLINGS = 3;
    private static final long REST_NANOS = 100_000_000L;
    private static final int MOST_RESTS = 3;

    private int weight;
    private int doublings = -1;
    private int rejections;
    private boolean unreachable;
    private long doubtSinceNanos;
    private long pauseUntilNanos;
    private long restUntilNanos;
    private int trialsOut;

    /** In doubt and within its pause, or with a trial out. */
    boolean ejected(long nowNanos) {
        return inDoubt() && (nowNanos - pauseUntilNanos < 0 || trialsOut > 0);
    }

    boolean inDoubt() {
        return weight >= DOUBT_AT;
    }

    /** Nothing at all connects there: it stays out, whatever part of its service that is. */
    boolean unreachable() {
        return inDoubt() && unreachable;
    }

    boolean resting(long nowNanos) {
        return rejections > 0 && nowNanos - restUntilNanos < 0;
    }

    /** When it may be tried again; meaningful only while {@link #ejected} or {@link #resting}. */
    long outUntilNanos() {
        return inDoubt() ? pauseUntilNanos : restUntilNanos;
    }

    /** Returns whether this send is a trial; {@link #onEnded} takes that back. */
    boolean onSent() {
        if (inDoubt()) {
            trialsOut++;
            return true;
        }
        return false;
    }

    /** Something of an answer came. */
    void onAlive() {
        weight = 0;
        doublings = -1;
        rejections = 0;
        unreachable = false;
    }

    void onEnded(AttemptOutcome outcome, boolean trial, long sentNanos, long nowNanos) {
        if (trial) {
            trialsOut--;
        }
        switch (outcome) {
            case ANSWERED -> onAlive();
            case REJECTED -> onRejected(nowNanos);
            case MISDIRECTED, BROKEN, TIMED_OUT -> onFailure(BROKEN_WEIGHT, false, sentNanos, nowNanos);
            case NOT_CONNECTED -> onFailure(NOT_CONNECTED_WEIGHT, true, sentNanos, nowNanos);
            case FAILED -> onFailure(FAILED_WEIGHT, false, sentNanos, nowNanos);
            case CANCELLED -> {}
        }
    }

    private void onRejected(long nowNanos) {
        weight = 0;
        unreachable = false;
        rejections = Math.min(MOST_RESTS, rejections + 1);
        restUntilNanos = nowNanos + REST_NANOS * rejections;
    }

    /** What was sent before the doubt tells nothing new. */
    private void onFailure(int weighed, boolean connecting, long sentNanos, long nowNanos) {
        if (inDoubt() && sentNanos - doubtSinceNanos < 0) {
            unreachable |= connecting;
            return;
        }
        unreachable = connecting;
        weight = Math.min(DOUBT_AT, weight + weighed);
        if (inDoubt()) {
            doublings = Math.min(MOST_DOUBLINGS, doublings + 1);
            doubtSinceNanos = nowNanos;
            pauseUntilNanos = nowNanos + (SHORTEST_PAUSE_NANOS << doublings);
        }
    }
}
