package burlarch.router;

/** What follows once a send of a request has ended, its time is over, or no instance may have it. */
enum FollowUp {
    /** Another send of the whole request. */
    SEND_AGAIN,
    /** Another send that goes on behind the last event that has passed. */
    RESUME,
    /** 503 with a time to come back: a promise that the request has not run and never will. */
    REFUSE,
    /** 502: the request may have run. */
    FAIL,
    /** 504: its time is over, and it may have run. */
    TIME_OUT,
    /** The client's connection ends within the answer, so that it does not look complete. */
    CUT
}
