package burlarch.router.upstream;

/**
 * State of a connection to an instance. Guarded by the monitor of its {@link UpstreamConnection}.
 *
 * <table>
 * <caption>Transitions; CLOSE leads from every state to CLOSED, every other event leaves CLOSED unchanged, and
 * an empty cell is illegal</caption>
 * <tr><th>state</th><th>CALL_STARTED</th><th>WRITE_COMPLETE</th><th>RESPONSE_COMPLETE</th></tr>
 * <tr><td>IDLE</td><td>WRITING</td><td></td><td></td></tr>
 * <tr><td>WRITING</td><td></td><td>AWAITING_RESPONSE</td><td>AWAITING_WRITE</td></tr>
 * <tr><td>AWAITING_RESPONSE</td><td></td><td></td><td>IDLE</td></tr>
 * <tr><td>AWAITING_WRITE</td><td></td><td>IDLE</td><td></td></tr>
 * </table>
 */
enum UpstreamConnectionState {
    /** No call is in flight; the connection may be reused. */
    IDLE,
    /** A call is in flight; its request may not have been written completely. */
    WRITING,
    /** A call is in flight; its request has been written completely. */
    AWAITING_RESPONSE,
    /**
     * The response is complete, but the completion of the write of the request has not been reported yet, nor that
     * of the response to the listener. The connection closes if the write turns out to wait for the peer.
     */
    AWAITING_WRITE,
    /** The connection is not used again. */
    CLOSED;

    /** An event that can change the state. */
    enum Event {
        /** A call is assigned and its write starts. */
        CALL_STARTED,
        /** The write of the request is reported complete. */
        WRITE_COMPLETE,
        /** A complete response was received and the connection may be reused. */
        RESPONSE_COMPLETE,
        /** The connection closes, or must not be reused. */
        CLOSE
    }

    /** Whether a call is in flight whose response is not complete. */
    boolean hasActiveCall() {
        return this == WRITING || this == AWAITING_RESPONSE;
    }

    /** How much of the request in flight may have been sent. */
    SendState sendState() {
        return this == AWAITING_RESPONSE ? SendState.SENT : SendState.PARTLY_SENT;
    }

    /**
     * Returns the state after an event. All state changes use this method.
     *
     * @throws IllegalStateException if the event cannot occur in this state
     */
    UpstreamConnectionState on(Event event) {
        if (this == CLOSED || event == Event.CLOSE) {
            return CLOSED;
        }
        if (this == IDLE && event == Event.CALL_STARTED) {
            return WRITING;
        }
        if (this == WRITING && event == Event.WRITE_COMPLETE) {
            return AWAITING_RESPONSE;
        }
        if (this == WRITING && event == Event.RESPONSE_COMPLETE) {
            return AWAITING_WRITE;
        }
        if (this == AWAITING_RESPONSE && event == Event.RESPONSE_COMPLETE) {
            return IDLE;
        }
        if (this == AWAITING_WRITE && event == Event.WRITE_COMPLETE) {
            return IDLE;
        }
        throw new IllegalStateException(event + " is not allowed in state " + this);
    }
}
