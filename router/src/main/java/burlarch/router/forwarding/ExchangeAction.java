package burlarch.router.forwarding;

/** What an exchange does after a send has ended, at its deadline, or if no instance may get the request. */
enum ExchangeAction {
    /** Sends the complete request again. */
    RETRY,
    /** Sends the request again so that the stream continues after the last forwarded event. */
    RESUME,
    /** Responds 503 with Retry-After: a promise that the request has not run and never will. */
    RESPOND_UNAVAILABLE,
    /** Responds 502: the request may have run. */
    RESPOND_BAD_GATEWAY,
    /** Responds 504: the deadline has passed, and the request may have run. */
    RESPOND_GATEWAY_TIMEOUT,
    /** Closes the client's connection within the response, so that it does not look complete. */
    ABORT
}
