package burlarch.coordination.membership;

/**
 * How far a member trusts itself. Signs that it is the slow or cut-off one make it slower to blame others, as
 * in Lifeguard's local health multiplier.
 */
final class LocalHealth {
    private static final int MAX_FAULT_SCORE = 3;

    private int faultScore;

    /** 1 for a member in good health; its time-outs are to be multiplied by this. */
    int multiplier() {
        return faultScore + 1;
    }

    void improve() {
        faultScore = Math.max(0, faultScore - 1);
    }

    void worsen() {
        faultScore = Math.min(MAX_FAULT_SCORE, faultScore + 1);
    }

    /** After a pause of the own process nothing that was timed across it counts. */
    void onPause() {
        faultScore = MAX_FAULT_SCORE;
    }
}
