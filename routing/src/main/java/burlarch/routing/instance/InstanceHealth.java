package burlarch.routing.instance;

import burlarch.routing.AttemptOutcome;

/**
 * Whether one instance may get requests. Failures in a row put it in doubt for a pause that doubles; after it
 * a single trial at a time goes out until one is answered. A rejection lets it rest shortly.
 */
public final class InstanceHealth {
    /** Failures are weighed by how surely they tell of the instance and not of one request. */
    private static final int EJECTION_THRESHOLD = 6;

    private static final int NOT_CONNECTED_WEIGHT = 6;
    private static final int BROKEN_WEIGHT = 3;
    private static final int FAILED_WEIGHT = 2;
    private static final long INITIAL_BACKOFF_NANOS = 1_000_000_000L;
    private static final int MAX_BACKOFF_DOUBLINGS = 3;
    private static final long REST_NANOS = 100_000_000L;
    private static final int MAX_REST_MULTIPLE = 3;

    private int failureWeight;
    private int backoffDoublings = -1;
    private int rejections;
    private boolean unreachable;
    private long ejectedSinceNanos;
    private long backoffUntilNanos;
    private long restUntilNanos;
    private int trialsInFlight;

    /** In doubt and within its pause, or with a trial out. */
    public boolean isEjected(long nowNanos) {
        return isOutlier() && (nowNanos - backoffUntilNanos < 0 || trialsInFlight > 0);
    }

    public boolean isOutlier() {
        return failureWeight >= EJECTION_THRESHOLD;
    }

    /** Nothing at all connects there: it stays out, whatever part of its service that is. */
    public boolean isUnreachable() {
        return isOutlier() && unreachable;
    }

    public boolean isResting(long nowNanos) {
        return rejections > 0 && nowNanos - restUntilNanos < 0;
    }

    /** When it may be tried again; meaningful only while {@link #isEjected} or {@link #isResting}. */
    public long unavailableUntilNanos() {
        return isOutlier() ? backoffUntilNanos : restUntilNanos;
    }

    /** Returns whether this send is a trial; {@link #onEnded} takes that back. */
    public boolean onSent() {
        if (isOutlier()) {
            trialsInFlight++;
            return true;
        }
        return false;
    }

    /** Something of an answer came. */
    public void onResponse() {
        failureWeight = 0;
        backoffDoublings = -1;
        rejections = 0;
        unreachable = false;
    }

    public void onEnded(AttemptOutcome outcome, boolean trial, long sentNanos, long nowNanos) {
        if (trial) {
            trialsInFlight--;
        }
        switch (outcome) {
            case ANSWERED -> onResponse();
            case REJECTED -> onRejected(nowNanos);
            case MISDIRECTED, BROKEN, TIMED_OUT -> onFailure(BROKEN_WEIGHT, false, sentNanos, nowNanos);
            case NOT_CONNECTED -> onFailure(NOT_CONNECTED_WEIGHT, true, sentNanos, nowNanos);
            case FAILED -> onFailure(FAILED_WEIGHT, false, sentNanos, nowNanos);
            case CANCELLED -> {}
        }
    }

    private void onRejected(long nowNanos) {
        failureWeight = 0;
        unreachable = false;
        rejections = Math.min(MAX_REST_MULTIPLE, rejections + 1);
        restUntilNanos = nowNanos + REST_NANOS * rejections;
    }

    /** What was sent before the doubt tells nothing new. */
    private void onFailure(int weighed, boolean connecting, long sentNanos, long nowNanos) {
        if (isOutlier() && sentNanos - ejectedSinceNanos < 0) {
            unreachable |= connecting;
            return;
        }
        unreachable = connecting;
        failureWeight = Math.min(EJECTION_THRESHOLD, failureWeight + weighed);
        if (isOutlier()) {
            backoffDoublings = Math.min(MAX_BACKOFF_DOUBLINGS, backoffDoublings + 1);
            ejectedSinceNanos = nowNanos;
            backoffUntilNanos = nowNanos + (INITIAL_BACKOFF_NANOS << backoffDoublings);
        }
    }
}
