package burlarch.router.forwarding;

/**
 * How far an attempt has come in forwarding its response.
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
    /** The body is forwarded as it comes. */
    FORWARDING_BODY,
    /** The response is complete; the last bytes that the assembler held back are being written. */
    WRITING_LAST_BYTES,
    /** The attempt has answered, failed or was cancelled. Later events are ignored. */
    ENDED;

    /** What happens to an attempt. */
    enum Event {
        /** The first bytes of the body, or its end, were received. */
        BODY_STARTED,
        /** The response is complete, and bytes of it have yet to be written. */
        BODY_RECEIVED,
        /** The attempt is over. */
        END
    }

    /**
     * The only transition function.
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
        throw new IllegalStateException(event + " in " + this);
    }
}
