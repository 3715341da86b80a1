package burlarch.simulation.coordination.fault;

/**
 * A fault that was drawn for a run. Times are seconds.
 *
 * @param from when it begins
 * @param to when it ends
 */
record FaultOccurrence(FaultKind kind, double from, double to) {
    /** Two faults coincide where one begins no more than so many seconds after the other's end. */
    static final double SOON_SECONDS = 3;

    /** Whether both are in force at one time, or one follows soon after the other. */
    boolean coincidesWith(FaultOccurrence other) {
        return from <= other.to + SOON_SECONDS && other.from <= to + SOON_SECONDS;
    }
}
