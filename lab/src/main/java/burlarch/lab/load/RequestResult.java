package burlarch.lab.load;

import burlarch.lab.load.LoadStatistics.Outcome;

/**
 * Result of a request.
 *
 * @param status HTTP status of the response; 0 without a response
 * @param bodyDigest digest of the response body; 0 unless the request was served
 * @param retryAfterS the response's Retry-After in seconds; 0 if absent
 */
record RequestResult(Outcome outcome, int status, long bodyDigest, double retryAfterS) {
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /** Creates the result for a response; the digest is kept only for a request that was served. */
    static RequestResult ofResponse(int status, long bodyDigest, double retryAfterS) {
        Outcome outcome = outcome(status);
        return new RequestResult(outcome, status, outcome == Outcome.SERVED ? bodyDigest : 0, retryAfterS);
    }

    static RequestResult withoutResponse(Outcome outcome) {
        return new RequestResult(outcome, 0, 0, 0);
    }

    boolean hasResponse() {
        return status != 0;
    }

    private static Outcome outcome(int status) {
        return switch (status) {
            case OK -> Outcome.SERVED;
            case TOO_MANY_REQUESTS, UNAVAILABLE -> Outcome.REFUSED;
            default -> Outcome.FAILED;
        };
    }
}
