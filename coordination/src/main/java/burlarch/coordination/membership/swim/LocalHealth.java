package burlarch.coordination.membership.swim;

/**
 * Lifeguard's local health multiplier: evidence that this member itself is slow or partitioned lengthens its
 * time-outs, so that it suspects others later.
 */
final class LocalHealth {
    private static final int MAX_FAULT_SCORE = 3;

    private int faultScore;

    /** Returns the factor for this member's time-outs: 1 in good health, {@value #MAX_FAULT_SCORE} + 1 at most. */
    int multiplier() {
        return faultScore + 1;
    }

    /** Records that a probe was answered. */
    void improve() {
        faultScore = Math.max(0, faultScore - 1);
    }

    /**
     * Records evidence that this member is at fault: it was suspected, or no member responded to its indirect probes.
     */
    void worsen() {
        faultScore = Math.min(MAX_FAULT_SCORE, faultScore + 1);
    }

    /** Records a pause of this process: time-outs that ran across the pause prove nothing about others. */
    void onPause() {
        faultScore = MAX_FAULT_SCORE;
    }
}
