package burlarch.router.forwarding;

import burlarch.router.upstream.SendState;

/**
 * What is known of one exchange over all its sends. This type alone decides what may follow. No I/O and no
 * clock.
 *
 * <table>
 * <caption>Transitions; ENDED leads from every state to ENDED, every event leaves ENDED unchanged, and an empty
 * cell is illegal</caption>
 * <tr><th>state</th><th>REQUEST_RECEIVED</th><th>SEND_NOT_RUN</th><th>SEND_MAY_HAVE_RUN</th>
 *     <th>RESPONSE_STARTED</th></tr>
 * <tr><td>RECEIVING</td><td>NOT_RUN</td><td></td><td></td><td></td></tr>
 * <tr><td>NOT_RUN</td><td></td><td>NOT_RUN</td><td>MAY_HAVE_RUN</td><td>RESPONDING</td></tr>
 * <tr><td>MAY_HAVE_RUN</td><td></td><td>MAY_HAVE_RUN</td><td>MAY_HAVE_RUN</td><td>RESPONDING</td></tr>
 * <tr><td>RESPONDING</td><td></td><td>RESPONDING</td><td>RESPONDING</td><td></td></tr>
 * </table>
 *
 * <table>
 * <caption>What follows; "retry" if another attempt is possible at all</caption>
 * <tr><th>state</th><th>after a send, retryable</th><th>after a send, not retryable</th>
 *     <th>no further send</th><th>at the deadline</th></tr>
 * <tr><td>NOT_RUN</td><td>retry, else 503</td><td>retry, else 503</td><td>503</td><td>503</td></tr>
 * <tr><td>MAY_HAVE_RUN</td><td>retry, else 502</td><td>502</td><td>502</td><td>504</td></tr>
 * <tr><td>RESPONDING</td><td>resume, else abort</td><td>abort</td><td>abort</td><td>abort</td></tr>
 * </table>
 *
 * <p>A rejection holds for all sends: one send with an unknown outcome rules 503 out for good, also if every
 * later send was rejected.
 */
enum ExchangeState {
    /** The request is being received; nothing was sent. */
    RECEIVING,
    /** The request is complete, and no send that has ended may have run. */
    NOT_RUN,
    /** One send may have run; nothing of a response was forwarded. */
    MAY_HAVE_RUN,
    /** The head of a response was forwarded; the client cannot get another one. */
    RESPONDING,
    /** The response has ended, or the client's connection was closed. */
    ENDED;

    /** What happens to an exchange. */
    enum Event {
        /** The request was received completely and its route is known. */
        REQUEST_RECEIVED,
        /** A send ended without a complete response and has not run. */
        SEND_NOT_RUN,
        /** A send ended without a complete response and may have run. */
        SEND_MAY_HAVE_RUN,
        /** The head of a response is forwarded to the client. */
        RESPONSE_STARTED,
        /** The response is complete, or nothing more will be sent to the client. */
        ENDED;

        /** The event of a send that ended in that state without a complete response. */
        static Event ofEndedSend(SendState last) {
            return last.mayHaveRun() ? SEND_MAY_HAVE_RUN : SEND_NOT_RUN;
        }
    }

    /** Which further attempt the route, the deadline and the stream allow. */
    enum NextAttempt {
        /** None: the attempts of the route are used up, or the time is over. */
        NONE,
        /** One that sends the complete request. */
        FROM_START,
        /** One that sends the complete request, or one that continues the stream that has been forwarded. */
        FROM_START_OR_RESUMED
    }

    /**
     * The only transition function.
     *
     * @throws IllegalStateException if the event cannot occur in this state
     */
    ExchangeState on(Event event) {
        if (this == ENDED || event == Event.ENDED) {
            return ENDED;
        }
        return switch (this) {
            case RECEIVING -> event == Event.REQUEST_RECEIVED ? NOT_RUN : illegal(event);
            case NOT_RUN -> switch (event) {
                case SEND_NOT_RUN -> NOT_RUN;
                case SEND_MAY_HAVE_RUN -> MAY_HAVE_RUN;
                case RESPONSE_STARTED -> RESPONDING;
                default -> illegal(event);
            };
            case MAY_HAVE_RUN -> switch (event) {
                case SEND_NOT_RUN, SEND_MAY_HAVE_RUN -> MAY_HAVE_RUN;
                case RESPONSE_STARTED -> RESPONDING;
                default -> illegal(event);
            };
            case RESPONDING -> switch (event) {
                case SEND_NOT_RUN, SEND_MAY_HAVE_RUN -> RESPONDING;
                default -> illegal(event);
            };
            case ENDED -> ENDED;
        };
    }

    private ExchangeState illegal(Event event) {
        throw new IllegalStateException(event + " in " + this);
    }

    /** What follows a send that has ended without a complete response. */
    ExchangeAction afterSend(RetrySafety safety, NextAttempt possible) {
        if (possible == NextAttempt.NONE || !mayRunAgain(safety)) {
            return withoutSend();
        }
        if (this != RESPONDING) {
            return ExchangeAction.RETRY;
        }
        return possible == NextAttempt.FROM_START_OR_RESUMED ? ExchangeAction.RESUME : ExchangeAction.ABORT;
    }

    /** What the client gets if no further send follows. */
    ExchangeAction withoutSend() {
        return switch (this) {
            case RESPONDING -> ExchangeAction.ABORT;
            case MAY_HAVE_RUN -> ExchangeAction.RESPOND_BAD_GATEWAY;
            default -> ExchangeAction.RESPOND_UNAVAILABLE;
        };
    }

    /** What the client gets at the deadline of the request. */
    ExchangeAction atDeadline() {
        return switch (this) {
            case RESPONDING -> ExchangeAction.ABORT;
            case MAY_HAVE_RUN -> ExchangeAction.RESPOND_GATEWAY_TIMEOUT;
            default -> ExchangeAction.RESPOND_UNAVAILABLE;
        };
    }

    private boolean mayRunAgain(RetrySafety safety) {
        return safety == RetrySafety.RETRYABLE || this == NOT_RUN;
    }
}
