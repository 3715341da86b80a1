package burlarch.controller.error;

/**
 * Every way in which a call to the system's own interfaces may fail, and how that is told over HTTP. The
 * operator gives a call up at 400, 409, 412, 413 and 422, so these stand only for what can never be taken.
 */
public enum ErrorKind {
    /** No quorum of the core answers: nothing was changed, or it isn't known to be. */
    NO_QUORUM("NO_QUORUM", 503, 300),
    /** The call got no clear end: its change may be in force now or later. */
    UNCLEAR("UNCLEAR", 503, 200),
    /** Another version than the one built on is current. */
    CONFLICT("CONFLICT", 412, ErrorKind.NO_RETRY),
    /** The content breaks a rule of what it describes. */
    INVALID("INVALID", 400, ErrorKind.NO_RETRY),
    /** Nothing is there under that path or name. */
    NOT_FOUND("NOT_FOUND", 404, ErrorKind.NO_RETRY),
    /** The body is longer than any that is taken. */
    TOO_LARGE("TOO_LARGE", 413, ErrorKind.NO_RETRY),
    /** The call didn't come whole: nothing was done, and the same call may succeed. */
    BROKEN_OFF("BROKEN_OFF", 503, 200),
    /** No room for the call just now. */
    OVERLOADED("OVERLOADED", 503, 300),
    /** The process is about to end. */
    DRAINING("DRAINING", 503, 100),
    /** The call can't be read. */
    BAD_REQUEST("BAD_REQUEST", 400, ErrorKind.NO_RETRY),
    /** The path knows no such method. */
    METHOD("METHOD", 405, ErrorKind.NO_RETRY);

    private static final int NO_RETRY = 0;
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final String code;
    private final int status;
    private final int retryAfterMillis;

    ErrorKind(String code, int status, int retryAfterMillis) {
        this.code = code;
        this.status = status;
        this.retryAfterMillis = retryAfterMillis;
    }

    /** What the body of the answer names it; never changes, whatever the constant is called. */
    public String code() {
        return code;
    }

    /** The HTTP status that tells of it. */
    public int status() {
        return status;
    }

    /** Whether the same call may succeed later, so that the answer carries {@code Retry-After}. */
    public boolean isRetryable() {
        return retryAfterMillis != NO_RETRY;
    }

    /**
     * The value of {@code Retry-After}: seconds, fractions included. Holds only where {@link #isRetryable()}.
     */
    public String retryAfterSeconds() {
        return Double.toString(retryAfterMillis / MILLIS_PER_SECOND);
    }
}
