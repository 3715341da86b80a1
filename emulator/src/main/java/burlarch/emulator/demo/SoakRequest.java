package burlarch.emulator.demo;

/**
 * What a client saw of one request.
 *
 * @param router name of the router
 * @param sentNanos when its last byte was sent
 * @param endedNanos when its response or its connection ended
 * @param status of the response; 0 if there was none
 * @param detail what is wrong with the response, or empty
 */
record SoakRequest(
        String id, Kind kind, String router, long sentNanos, long endedNanos, End end, int status, String detail) {
    static final int OK = 200;

    /** Kinds of requests, and of clients: each client draws one anew for each request. */
    enum Kind {
        /** Idempotent, without a body. */
        READ(true),
        /** May run at most once. */
        WRITE(false),
        /** May run at most once, with a large body. */
        LARGE_WRITE(false),
        /** Resumable stream. */
        STREAM(true),
        /** Resumable stream that the client reads slowly. */
        SLOW_STREAM(true),
        /** Resumable stream that the client gives up. */
        GIVEN_UP_STREAM(true);

        private final boolean repeatable;

        Kind(boolean repeatable) {
            this.repeatable = repeatable;
        }

        boolean isRepeatable() {
            return repeatable;
        }

        boolean isStream() {
            return this == STREAM || this == SLOW_STREAM || this == GIVEN_UP_STREAM;
        }
    }

    /** How a request ended for its client. */
    enum End {
        /** A complete response. */
        ANSWERED,
        /** The connection ended without a response, or within it. */
        CONNECTION_ENDED,
        /** The client gave up. */
        GIVEN_UP
    }
}
