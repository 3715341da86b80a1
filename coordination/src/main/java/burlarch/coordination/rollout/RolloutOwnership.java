package burlarch.coordination.rollout;

/**
 * The state of the ownership of the rollout in this process, and its fencing token.
 *
 * <pre>
 * from                 event                                        to
 * NEVER_HELD           acquired                                     HELD
 * HELD, ENDED, FENCED  acquired under a higher token                HELD
 * ENDED                acquired under the same token, after a pause HELD
 * HELD                 ended                                        ENDED
 * HELD                 an engine has seen a higher token            FENCED
 * </pre>
 *
 * Every other event changes nothing. Invariant <em>tokens rise</em>: the token never decreases.
 */
final class RolloutOwnership {
    private enum Phase {
        /** No token was acquired yet. */
        NEVER_HELD,
        /** This process holds the ownership and may send orders. */
        HELD,
        /** The ownership ended; the same token may be acquired again. */
        ENDED,
        /** An engine has seen a higher token: this token is never valid again. */
        FENCED
    }

    private Phase phase = Phase.NEVER_HELD;
    private long fencingToken;

    /**
     * Records that the ownership was acquired under a token.
     *
     * @return whether the state changed to held
     */
    boolean onAcquired(long token) {
        boolean isNew = phase == Phase.NEVER_HELD || token > fencingToken;
        boolean isResumed = phase == Phase.ENDED && token == fencingToken;
        if (!isNew && !isResumed) {
            return false;
        }
        phase = Phase.HELD;
        fencingToken = token;
        return true;
    }

    void onEnded() {
        if (phase == Phase.HELD) {
            phase = Phase.ENDED;
        }
    }

    void onFenced() {
        if (phase == Phase.HELD) {
            phase = Phase.FENCED;
        }
    }

    boolean isHeld() {
        return phase == Phase.HELD;
    }

    /** Returns the newest token, 0 before the first one. */
    long fencingToken() {
        return fencingToken;
    }
}
