package burlarch.routing.instance;

import burlarch.routing.AttemptOutcome;

/**
 * Outlier ejection for one instance: decides from the outcomes of attempts whether it may receive requests.
 *
 * <p>Each failure adds a weight that reflects how surely the instance and not the request is at fault; a response
 * resets the sum. At the ejection threshold the instance is ejected for a backoff that doubles with each further
 * failure. After the backoff a single trial request at a time may be sent, until one succeeds. A rejection shows that
 * the instance works but is overloaded, so it starts a short cooldown instead.
 *
 * <pre>
 * state         response   rejection              failure, sum below threshold  failure, sum at threshold
 * AVAILABLE     AVAILABLE  COOLING_DOWN           AVAILABLE                     EJECTED
 * COOLING_DOWN  AVAILABLE  COOLING_DOWN (longer)  COOLING_DOWN                  EJECTED
 * EJECTED       AVAILABLE  COOLING_DOWN           -                             EJECTED (backoff doubled), but only
 *                                                 if sent after the ejection; else no change
 * </pre>
 *
 * <p>A cooldown or backoff expires without a change of state. All transitions are made by {@link #transitionTo}.
 */
public final class InstanceHealth {
    /** State of the instance; see the table of transitions above. */
    private enum State {
        AVAILABLE,
        /** Rejected the last request; receives none until the cooldown is over. */
        COOLING_DOWN,
        /** Outlier: receives no request during the backoff, then one trial at a time. */
        EJECTED
    }

    private static final int EJECTION_THRESHOLD = 6;
    private static final int NOT_CONNECTED_WEIGHT = 6;
    private static final int BROKEN_WEIGHT = 3;
    private static final int FAILED_WEIGHT = 2;
    private static final long INITIAL_BACKOFF_NANOS = 1_000_000_000L;
    private static final int MAX_BACKOFF_DOUBLINGS = 3;
    private static final long COOLDOWN_NANOS = 100_000_000L;
    private static final int MAX_COOLDOWN_MULTIPLE = 3;

    private State state = State.AVAILABLE;
    /** Sum of the weights of failures since the last response or rejection. */
    private int failureWeight;
    /** Number of times that the backoff has been doubled, -1 before the first ejection; only a response resets it. */
    private int backoffDoublings = -1;
    /** Rejections since the last response, at most {@link #MAX_COOLDOWN_MULTIPLE}. */
    private int rejections;
    /** Whether the last failure was a failure to connect. */
    private boolean unreachable;

    private long ejectedSinceNanos;
    private long backoffUntilNanos;
    private long cooldownUntilNanos;
    private int trialsInFlight;

    /** Whether it is an outlier that may not receive even a trial, because of its backoff or a trial in flight. */
    public boolean isEjected(long nowNanos) {
        return isOutlier() && (nowNanos - backoffUntilNanos < 0 || trialsInFlight > 0);
    }

    /** Whether failures have ejected it and no response or rejection has arrived since. */
    public boolean isOutlier() {
        return state == State.EJECTED;
    }

    /**
     * Whether it is an outlier to which no connection can be established. Such an instance stays ejected even if too
     * large a part of its service is ejected.
     */
    public boolean isUnreachable() {
        return isOutlier() && unreachable;
    }

    /** Whether it is in the cooldown after a rejection. */
    public boolean isCoolingDown(long nowNanos) {
        return state == State.COOLING_DOWN && nowNanos - cooldownUntilNanos < 0;
    }

    /** Returns when it may next receive a request; meaningful only if {@link #isEjected} or {@link #isCoolingDown}. */
    public long unavailableUntilNanos() {
        return isOutlier() ? backoffUntilNanos : cooldownUntilNanos;
    }

    /**
     * Records that a request is sent to it. Returns whether that is a trial, which must be passed to {@link #onEnded}.
     */
    public boolean onSent() {
        if (isOutlier()) {
            trialsInFlight++;
            return true;
        }
        return false;
    }

    /** Records that the beginning of a response arrived. */
    public void onResponse(long nowNanos) {
        transitionTo(State.AVAILABLE, nowNanos);
    }

    /**
     * Records the end of an attempt.
     *
     * @param trial as returned by {@link #onSent}
     */
    public void onEnded(AttemptOutcome outcome, boolean trial, long sentNanos, long nowNanos) {
        if (trial) {
            trialsInFlight--;
        }
        switch (outcome) {
            case ANSWERED -> transitionTo(State.AVAILABLE, nowNanos);
            case REJECTED -> transitionTo(State.COOLING_DOWN, nowNanos);
            case MISDIRECTED, BROKEN, TIMED_OUT -> onFailure(outcome, BROKEN_WEIGHT, sentNanos, nowNanos);
            case NOT_CONNECTED -> onFailure(outcome, NOT_CONNECTED_WEIGHT, sentNanos, nowNanos);
            case FAILED -> onFailure(outcome, FAILED_WEIGHT, sentNanos, nowNanos);
            case CANCELLED -> {}
        }
    }

    private void onFailure(AttemptOutcome outcome, int weight, long sentNanos, long nowNanos) {
        boolean connectionFailed = outcome == AttemptOutcome.NOT_CONNECTED;
        if (isOutlier() && sentNanos - ejectedSinceNanos < 0) {
            // Requests that were in flight at the ejection fail for the cause that is already known.
            unreachable |= connectionFailed;
            return;
        }
        unreachable = connectionFailed;
        failureWeight = Math.min(EJECTION_THRESHOLD, failureWeight + weight);
        if (failureWeight == EJECTION_THRESHOLD) {
            transitionTo(State.EJECTED, nowNanos);
        }
    }

    /** Enters a state, which may be the current one. */
    private void transitionTo(State next, long nowNanos) {
        state = next;
        switch (next) {
            case AVAILABLE -> {
                failureWeight = 0;
                backoffDoublings = -1;
                rejections = 0;
                unreachable = false;
            }
            case COOLING_DOWN -> {
                failureWeight = 0;
                unreachable = false;
                rejections = Math.min(MAX_COOLDOWN_MULTIPLE, rejections + 1);
                cooldownUntilNanos = nowNanos + COOLDOWN_NANOS * rejections;
            }
            case EJECTED -> {
                backoffDoublings = Math.min(MAX_BACKOFF_DOUBLINGS, backoffDoublings + 1);
                ejectedSinceNanos = nowNanos;
                backoffUntilNanos = nowNanos + (INITIAL_BACKOFF_NANOS << backoffDoublings);
            }
        }
    }
}
