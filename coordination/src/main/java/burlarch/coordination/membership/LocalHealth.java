package burlarch.coordination.membership;

/**
 * How far a member trusts itself. Signs that it is the slow or cut-off one make it slower to blame others, as
 * in Lifeguard's local health multiplier.
 */
final class LocalHealth {
    private static final int WORST = 3;

    private int faults;

    /** 1 for a member in good health; its time-outs are to be multiplied by this. */
    int multiplier() {
        return faults + 1;
    }

    void improve() {
        faults = Math.max(0, faults - 1);
    }

    void worsen() {
        faults = Math.min(WORST, faults + 1);
    }

    /** After a pause of the own process nothing that was timed across it counts. */
    void paused() {
        faults = WORST;
    }
}
