package burlarch.routing;

/** How an attempt, the sending of a request to one instance, ended. */
public enum AttemptOutcome {
    /** A complete response arrived. */
    ANSWERED(false),
    /** The instance declared that it had not executed the request: its queue is full or a rate limit holds. */
    REJECTED(true),
    /** Status 421: the instance serves another model or other weights than the request expects. */
    MISDIRECTED(true),
    /** No connection was established; nothing was written. */
    NOT_CONNECTED(true),
    /** Ended without a complete response after the instance may have read part of the request. */
    BROKEN(false),
    /** No response arrived in time. */
    TIMED_OUT(false),
    /** The client closed its connection, or the attempt was no longer needed. */
    CANCELLED(false),
    /** The instance executed the request and failed, status 5xx. */
    FAILED(false);

    private final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Whether it is certain that the request was not executed, so that any route may retry it. */
    public boolean neverRan() {
        return neverRan;
    }
}
