package burlarch.router.forwarding;

/** Action of an exchange after a send has ended, at the deadline, or if the planner refuses to place an attempt. */
enum ExchangeAction {
    /** Sends the complete request again. */
    RETRY,
    /** Sends the request again and asks to continue the event stream after the last forwarded event. */
    RESUME,
    /** Responds 503 with Retry-After: guarantees that the request was not executed and never will be. */
    RESPOND_UNAVAILABLE,
    /** Responds 502: the request may have been executed. */
    RESPOND_BAD_GATEWAY,
    /** Responds 504: the deadline has passed, and the request may have been executed. */
    RESPOND_GATEWAY_TIMEOUT,
    /** Closes the client's connection before the end of the response, so that it does not look complete. */
    ABORT
}
