package burlarch.routing.instance;

import burlarch.routing.AttemptOutcome;

/**
 * Whether one instance may receive requests: outlier ejection by the outcomes of attempts there.
 *
 * <p>Each failure adds a weight, by how surely it is the instance's fault and not the request's; a response
 * resets the sum. At the ejection threshold the instance is ejected for a backoff that doubles with each
 * further failure. When the backoff is over a single trial request at a time may be sent, until one succeeds.
 * A rejection proves that the instance works, but is overloaded: it gets a short rest instead.
 *
 * <pre>
 * state      response   rejection          failure, sum below threshold  failure, sum at threshold
 * AVAILABLE  AVAILABLE  RESTING            AVAILABLE                     EJECTED
 * RESTING    AVAILABLE  RESTING (longer)   RESTING                       EJECTED
 * EJECTED    AVAILABLE  RESTING            -                             EJECTED (backoff doubled), but only if
 *                                                                        sent after the ejection; else no change
 * </pre>
 *
 * <p>Time ends a rest or a backoff without a change of state. All transitions are made by {@link #enter}.
 */
public final class InstanceHealth {
    /** Where the instance stands; see the table of transitions above. */
    private enum State {
        AVAILABLE,
        /** Rejected the last request that it decided on; receives none until the rest is over. */
        RESTING,
        /** Outlier: receives none during the backoff, and then one trial at a time. */
        EJECTED
    }

    private static final int EJECTION_THRESHOLD = 6;
    private static final int NOT_CONNECTED_WEIGHT = 6;
    private static final int BROKEN_WEIGHT = 3;
    private static final int FAILED_WEIGHT = 2;
    private static final long INITIAL_BACKOFF_NANOS = 1_000_000_000L;
    private static final int MAX_BACKOFF_DOUBLINGS = 3;
    private static final long REST_NANOS = 100_000_000L;
    private static final int MAX_REST_MULTIPLE = 3;

    private State state = State.AVAILABLE;
    /** Sum of the weights of failures since the last response or rejection. */
    private int failureWeight;
    /** Doublings of the next backoff, less one; only a response resets it. */
    private int backoffDoublings = -1;
    /** Rejections since the last response, at most {@link #MAX_REST_MULTIPLE}. */
    private int rejections;
    /** Whether the last failure was a connection that could not be established. */
    private boolean unreachable;

    private long ejectedSinceNanos;
    private long backoffUntilNanos;
    private long restUntilNanos;
    private int trialsInFlight;

    /** Whether it is an outlier and may not even receive a trial: during its backoff, or with a trial in flight. */
    public boolean isEjected(long nowNanos) {
        return isOutlier() && (nowNanos - backoffUntilNanos < 0 || trialsInFlight > 0);
    }

    /** Whether failures have ejected it and no response or rejection has arrived since. */
    public boolean isOutlier() {
        return state == State.EJECTED;
    }

    /**
     * Whether it is an outlier to which no connection can be established. Such an instance stays ejected even
     * if too large a part of its service is.
     */
    public boolean isUnreachable() {
        return isOutlier() && unreachable;
    }

    /** Whether it rests after a rejection. */
    public boolean isResting(long nowNanos) {
        return state == State.RESTING && nowNanos - restUntilNanos < 0;
    }

    /** When it may next receive a request; meaningful only while {@link #isEjected} or {@link #isResting}. */
    public long unavailableUntilNanos() {
        return isOutlier() ? backoffUntilNanos : restUntilNanos;
    }

    /** A request is sent to it. Returns whether that is a trial, which {@link #onEnded} has to be told. */
    public boolean onSent() {
        if (isOutlier()) {
            trialsInFlight++;
            return true;
        }
        return false;
    }

    /** The beginning of a response arrived. */
    public void onResponse(long nowNanos) {
        enter(State.AVAILABLE, nowNanos);
    }

    /** An attempt ended; {@code trial} as returned by {@link #onSent}. */
    public void onEnded(AttemptOutcome outcome, boolean trial, long sentNanos, long nowNanos) {
        if (trial) {
            trialsInFlight--;
        }
        switch (outcome) {
            case ANSWERED -> enter(State.AVAILABLE, nowNanos);
            case REJECTED -> enter(State.RESTING, nowNanos);
            case MISDIRECTED, BROKEN, TIMED_OUT -> onFailure(outcome, BROKEN_WEIGHT, sentNanos, nowNanos);
            case NOT_CONNECTED -> onFailure(outcome, NOT_CONNECTED_WEIGHT, sentNanos, nowNanos);
            case FAILED -> onFailure(outcome, FAILED_WEIGHT, sentNanos, nowNanos);
            case CANCELLED -> {}
        }
    }

    private void onFailure(AttemptOutcome outcome, int weight, long sentNanos, long nowNanos) {
        boolean connectionFailed = outcome == AttemptOutcome.NOT_CONNECTED;
        if (isOutlier() && sentNanos - ejectedSinceNanos < 0) {
            // Requests that were in flight at the ejection fail for the cause that is known already.
            unreachable |= connectionFailed;
            return;
        }
        unreachable = connectionFailed;
        failureWeight = Math.min(EJECTION_THRESHOLD, failureWeight + weight);
        if (failureWeight == EJECTION_THRESHOLD) {
            enter(State.EJECTED, nowNanos);
        }
    }

    /** Enters a state, perhaps again. */
    private void enter(State next, long nowNanos) {
        state = next;
        switch (next) {
            case AVAILABLE -> {
                failureWeight = 0;
                backoffDoublings = -1;
                rejections = 0;
                unreachable = false;
            }
            case RESTING -> {
                failureWeight = 0;
                unreachable = false;
                rejections = Math.min(MAX_REST_MULTIPLE, rejections + 1);
                restUntilNanos = nowNanos + REST_NANOS * rejections;
            }
            case EJECTED -> {
                backoffDoublings = Math.min(MAX_BACKOFF_DOUBLINGS, backoffDoublings + 1);
                ejectedSinceNanos = nowNanos;
                backoffUntilNanos = nowNanos + (INITIAL_BACKOFF_NANOS << backoffDoublings);
            }
        }
    }
}
