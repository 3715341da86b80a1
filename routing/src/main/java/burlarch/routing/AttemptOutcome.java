package burlarch.routing;

/** Outcome of an attempt. An attempt is one sending of a request to one instance. */
public enum AttemptOutcome {
    /** A complete response arrived. */
    ANSWERED(false),
    /**
     * The instance declared that it had not executed the request, because its queue was full or a rate limit applied.
     */
    REJECTED(true),
    /** Status 421: the instance serves another model or another weights version than the request expects. */
    MISDIRECTED(true),
    /** No connection could be established, so nothing was written. */
    NOT_CONNECTED(true),
    /** The attempt ended without a complete response after the instance may have read part of the request. */
    BROKEN(false),
    /** No response arrived before the time-out. */
    TIMED_OUT(false),
    /** The client closed its connection, or the attempt was no longer needed. */
    CANCELLED(false),
    /** The instance executed the request and responded with status 5xx. */
    FAILED(false);

    private final boolean certainlyNotExecuted;

    AttemptOutcome(boolean certainlyNotExecuted) {
        this.certainlyNotExecuted = certainlyNotExecuted;
    }

    /** Whether the request was certainly not executed, so that it may be retried on any route. */
    public boolean certainlyNotExecuted() {
        return certainlyNotExecuted;
    }
}
