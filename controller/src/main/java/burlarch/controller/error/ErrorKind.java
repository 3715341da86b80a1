package burlarch.controller.error;

/**
 * The kinds of failure of a control API call, with their HTTP status and retry delay.
 *
 * <p>An operator's client doesn't retry after 400, 409, 412, 413 and 422. Invariant <em>final statuses are final</em>:
 * these statuses are used only for calls that no state will ever accept; a call that may still succeed is reported as
 * 503.
 *
 * <table>
 * <caption>Meaning of each kind for the caller</caption>
 * <tr><th>kind</th><th>status</th><th>the change</th><th>the caller</th></tr>
 * <tr><td>NO_QUORUM, OVERLOADED, BROKEN_OFF, DRAINING</td><td>503</td><td>was not made by this call, or it is unknown
 * whether it was</td><td>retries, at any controller</td></tr>
 * <tr><td>UNCLEAR</td><td>503</td><td>may be in force, now or later</td><td>retries the same call; a change that was
 * applied is acknowledged again</td></tr>
 * <tr><td>CONFLICT</td><td>412</td><td>is not in force and never will be</td><td>bases its change on the current
 * version</td></tr>
 * <tr><td>INVALID, BAD_REQUEST, TOO_LARGE, METHOD, NOT_FOUND</td><td>400, 413, 405, 404</td><td>is not in force and
 * never will be</td><td>corrects the call</td></tr>
 * </table>
 */
public enum ErrorKind {
    /** No quorum of the acceptors responds: nothing was changed, or it is unknown whether it was. */
    NO_QUORUM("NO_QUORUM", 503, 300),
    /** The call ended without a result: its change may be in force, now or later. */
    UNCLEAR("UNCLEAR", 503, 200),
    /** The current version differs from the version that the change builds on. */
    CONFLICT("CONFLICT", 412, ErrorKind.NO_RETRY),
    /** The content violates a validation rule. */
    INVALID("INVALID", 400, ErrorKind.NO_RETRY),
    /** There is no resource under that path or name. */
    NOT_FOUND("NOT_FOUND", 404, ErrorKind.NO_RETRY),
    /** The body is longer than the limit. */
    TOO_LARGE("TOO_LARGE", 413, ErrorKind.NO_RETRY),
    /** The request's body did not arrive completely: nothing was done, and the same call may succeed. */
    BROKEN_OFF("BROKEN_OFF", 503, 200),
    /** There is no capacity for the call at present. */
    OVERLOADED("OVERLOADED", 503, 300),
    /** The process is shutting down. */
    DRAINING("DRAINING", 503, 100),
    /** The request can't be parsed. */
    BAD_REQUEST("BAD_REQUEST", 400, ErrorKind.NO_RETRY),
    /** The path does not support the method. */
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

    /** The code in the body of the response. It is part of the API and must not change if the constant is renamed. */
    public String code() {
        return code;
    }

    /** The HTTP status of the response. */
    public int status() {
        return status;
    }

    /** Whether the same call may succeed later, so that the response carries {@code Retry-After}. */
    public boolean isRetryable() {
        return retryAfterMillis != NO_RETRY;
    }

    /** The value of {@code Retry-After} in seconds, with fractions; meaningful only if {@link #isRetryable()}. */
    public String retryAfterSeconds() {
        return Double.toString(retryAfterMillis / MILLIS_PER_SECOND);
    }
}
