package burlarch.coordination.membership.swim;

/**
 * Lifeguard's local health multiplier: signs that this member itself is slow or partitioned make its time-outs longer,
 * so that it suspects others later.
 */
final class LocalHealth {
    private static final int MAX_FAULT_SCORE = 3;

    private int faultScore;

    /** The factor for this member's time-outs: 1 in good health, {@value #MAX_FAULT_SCORE} + 1 at most. */
    int multiplier() {
        return faultScore + 1;
    }

    /** A probe was answered. */
    void improve() {
        faultScore = Math.max(0, faultScore - 1);
    }

    /** A sign that this member is at fault: it was suspected, or nobody responded to its indirect probes. */
    void worsen() {
        faultScore = Math.min(MAX_FAULT_SCORE, faultScore + 1);
    }

    /** This process stood still: what it timed across the pause proves nothing about others. */
    void onPause() {
        faultScore = MAX_FAULT_SCORE;
    }
}
