package burlarch.router.forwarding;

import burlarch.router.upstream.SendState;

/**
 * State of one exchange over all its sends. Only this type decides what may follow a send. Uses no I/O and no
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
 * <caption>Actions; "retry" and "resume" require that another attempt is possible</caption>
 * <tr><th>state</th><th>after a send, retryable</th><th>after a send, not retryable</th>
 *     <th>no further send</th><th>at the deadline</th></tr>
 * <tr><td>NOT_RUN</td><td>retry, else 503</td><td>retry, else 503</td><td>503</td><td>503</td></tr>
 * <tr><td>MAY_HAVE_RUN</td><td>retry, else 502</td><td>502</td><td>502</td><td>504</td></tr>
 * <tr><td>RESPONDING</td><td>resume, else abort</td><td>abort</td><td>abort</td><td>abort</td></tr>
 * </table>
 *
 * <p>A 503 response covers all sends: after one send with an unknown outcome 503 is never sent, even if every
 * later send was rejected.
 */
enum ExchangeState {
    /** The request is being received; nothing was sent. */
    RECEIVING,
    /** The request is complete, and none of the ended sends may have been executed. */
    NOT_RUN,
    /** At least one send may have been executed; no part of a response was forwarded. */
    MAY_HAVE_RUN,
    /** The head of a response was forwarded; the client cannot get another one. */
    RESPONDING,
    /** The response has ended, or the client's connection was closed. */
    ENDED;

    /** An event that can change the state. */
    enum Event {
        /** The request was received completely and its route is known. */
        REQUEST_RECEIVED,
        /** A send ended without a complete response and was not executed. */
        SEND_NOT_RUN,
        /** A send ended without a complete response and may have been executed. */
        SEND_MAY_HAVE_RUN,
        /** The head of a response is forwarded to the client. */
        RESPONSE_STARTED,
        /** The response is complete, or nothing more will be sent to the client. */
        ENDED;

        /** The event for a send that ended in the given state without a complete response. */
        static Event ofEndedSend(SendState sendState) {
            return sendState.mayHaveRun() ? SEND_MAY_HAVE_RUN : SEND_NOT_RUN;
        }
    }

    /** Kind of further attempt that the route, the deadline and the event stream allow. */
    enum NextAttempt {
        /** None: all attempts that the route allows were made, or the deadline has passed. */
        NONE,
        /** An attempt whose response starts from the beginning. */
        FROM_START,
        /** An attempt from the start, or one that continues the forwarded event stream. */
        FROM_START_OR_RESUMED
    }

    /**
     * Returns the state after an event. All state changes use this method.
     *
     * @throws IllegalStateException if the event cannot occur in this state
     */
    ExchangeState on(Event event) {
        if (this == ENDED || event == Event.ENDED) {
            return ENDED;
        }
        return switch (this) {
            case RECEIVING -> event == Event.REQUEST_RECEIVED ? NOT_RUN : throwIllegalEvent(event);
            case NOT_RUN -> switch (event) {
                case SEND_NOT_RUN -> NOT_RUN;
                case SEND_MAY_HAVE_RUN -> MAY_HAVE_RUN;
                case RESPONSE_STARTED -> RESPONDING;
                default -> throwIllegalEvent(event);
            };
            case MAY_HAVE_RUN -> switch (event) {
                case SEND_NOT_RUN, SEND_MAY_HAVE_RUN -> MAY_HAVE_RUN;
                case RESPONSE_STARTED -> RESPONDING;
                default -> throwIllegalEvent(event);
            };
            case RESPONDING -> switch (event) {
                case SEND_NOT_RUN, SEND_MAY_HAVE_RUN -> RESPONDING;
                default -> throwIllegalEvent(event);
            };
            case ENDED -> ENDED;
        };
    }

    private ExchangeState throwIllegalEvent(Event event) {
        throw new IllegalStateException(event + " is not allowed in state " + this);
    }

    /** The action after a send that ended without a complete response. */
    ExchangeAction afterSend(RetrySafety safety, NextAttempt nextAttempt) {
        if (nextAttempt == NextAttempt.NONE || !allowsRetry(safety)) {
            return withoutFurtherSend();
        }
        if (this != RESPONDING) {
            return ExchangeAction.RETRY;
        }
        return nextAttempt == NextAttempt.FROM_START_OR_RESUMED ? ExchangeAction.RESUME : ExchangeAction.ABORT;
    }

    /** The action if no further send follows. */
    ExchangeAction withoutFurtherSend() {
        return switch (this) {
            case RESPONDING -> ExchangeAction.ABORT;
            case MAY_HAVE_RUN -> ExchangeAction.RESPOND_BAD_GATEWAY;
            default -> ExchangeAction.RESPOND_UNAVAILABLE;
        };
    }

    /** The action at the deadline of the request. */
    ExchangeAction atDeadline() {
        return switch (this) {
            case RESPONDING -> ExchangeAction.ABORT;
            case MAY_HAVE_RUN -> ExchangeAction.RESPOND_GATEWAY_TIMEOUT;
            default -> ExchangeAction.RESPOND_UNAVAILABLE;
        };
    }

    private boolean allowsRetry(RetrySafety safety) {
        return safety == RetrySafety.RETRYABLE || this == NOT_RUN;
    }
}
