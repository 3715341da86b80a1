package burlarch.router.forwarding;

/**
 * Phase of an attempt: how much of the response it has received and forwarded.
 *
 * <table>
 * <caption>Transitions; END leads from every phase to ENDED, and an empty cell is illegal</caption>
 * <tr><th>phase</th><th>BODY_STARTED</th><th>BODY_RECEIVED</th></tr>
 * <tr><td>AWAITING_BODY</td><td>FORWARDING_BODY</td><td></td></tr>
 * <tr><td>FORWARDING_BODY</td><td></td><td>WRITING_LAST_BYTES</td></tr>
 * <tr><td>WRITING_LAST_BYTES</td><td></td><td></td></tr>
 * <tr><td>ENDED</td><td></td><td></td></tr>
 * </table>
 */
enum AttemptPhase {
    /** No byte of the body, nor its end, has been received. */
    AWAITING_BODY,
    /** The body is forwarded as it is received. */
    FORWARDING_BODY,
    /** The response is complete; the last bytes, which the assembler held back, are being written. */
    WRITING_LAST_BYTES,
    /** The attempt has received a complete response, has failed or was cancelled. Later events are ignored. */
    ENDED;

    /** An event that can change the phase. */
    enum Event {
        /** The first bytes of the body, or its end, were received. */
        BODY_STARTED,
        /** The response is complete, but its last bytes have not been written yet. */
        BODY_RECEIVED,
        /** The attempt has ended. */
        END
    }

    /**
     * Returns the phase after an event. All phase changes use this method.
     *
     * @throws IllegalStateException if the event cannot occur in this phase
     */
    AttemptPhase on(Event event) {
        if (event == Event.END) {
            return ENDED;
        }
        if (this == AWAITING_BODY && event == Event.BODY_STARTED) {
            return FORWARDING_BODY;
        }
        if (this == FORWARDING_BODY && event == Event.BODY_RECEIVED) {
            return WRITING_LAST_BYTES;
        }
        throw new IllegalStateException(event + " is not allowed in phase " + this);
    }
}
