package burlarch.routing;

/** How an attempt at an instance ended. */
public enum AttemptOutcome {
    /** A whole answer came. */
    ANSWERED(false),
    /** The instance said that it had not run the request: full or rate limited. */
    REJECTED(true),
    /** 421: another instance, or other weights. */
    MISDIRECTED(true),
    /** No connection came up, nothing was written. */
    NOT_CONNECTED(true),
    /** Ended without a whole answer after something may have been read. */
    BROKEN(false),
    /** Nothing came in time. */
    TIMED_OUT(false),
    /** The client left first. */
    CANCELLED(false),
    /** A failure of the instance's own, 5xx after it ran. */
    FAILED(false);

    private final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Whether it is certain that the request had not run. */
    public boolean neverRan() {
        return neverRan;
    }
}
