package burlarch.coordination.register.proposal;

/**
 * The states of a {@link Proposal}. All transitions are in {@link #after}; an event that has no transition in a state
 * is a programming error.
 *
 * <pre>
 * state           | STARTED   | REJECTED        | BACKOFF_ELAPSED | WRITE_READY | STEP_CHOSEN | ENDED
 * ----------------+-----------+-----------------+-----------------+-------------+-------------+---------
 * NEW             | PREPARING |                 |                 |             |             |
 * PREPARING       |           | PREPARE_BACKOFF |                 | ACCEPTING   |             | FINISHED
 * PREPARE_BACKOFF |           |                 | PREPARING       | ACCEPTING   |             | FINISHED
 * ACCEPTING       |           | ACCEPT_BACKOFF  |                 |             | PREPARING   | FINISHED
 * ACCEPT_BACKOFF  |           |                 | PREPARING       |             | PREPARING   | FINISHED
 * FINISHED        |           |                 |                 |             |             |
 * </pre>
 *
 * <p>An attempt begins with each entry into {@code PREPARING}, under a new proposal number. A rejected attempt still
 * counts responses during its backoff, because the other acceptors may still form a quorum; it resends nothing.
 */
enum ProposalState {
    /** Not started yet. */
    NEW,
    /**
     * The prepare request was sent; its responses are counted, and it is resent to acceptors that have not responded.
     */
    PREPARING,
    /**
     * As {@code PREPARING}, but an acceptor has granted a higher number: a new attempt follows after a delay.
     */
    PREPARE_BACKOFF,
    /**
     * The accept request was sent; its responses are counted, and it is resent to acceptors that have not responded.
     */
    ACCEPTING,
    /**
     * As {@code ACCEPTING}, but an acceptor has granted a higher number: a new attempt follows after a delay.
     */
    ACCEPT_BACKOFF,
    /** The result is known. */
    FINISHED;

    /** An event that moves a proposal from one state to the next. */
    enum Event {
        /** The driver has started the proposal. */
        STARTED,
        /** The first rejection of the present attempt was received. */
        REJECTED,
        /** The delay after a rejection is over. */
        BACKOFF_ELAPSED,
        /** Enough acceptors are prepared, and a value has to be written. */
        WRITE_READY,
        /** An intermediate write is chosen; the next attempt builds on it. */
        STEP_CHOSEN,
        /** The result is known, or the deadline has passed. */
        ENDED
    }

    /**
     * Returns the state after an event.
     *
     * @throws IllegalStateException when the event cannot happen in this state
     */
    ProposalState after(Event event) {
        return switch (this) {
            case NEW -> switch (event) {
                case STARTED -> PREPARING;
                default -> throw impossible(event);
            };
            case PREPARING -> switch (event) {
                case REJECTED -> PREPARE_BACKOFF;
                case WRITE_READY -> ACCEPTING;
                case ENDED -> FINISHED;
                default -> throw impossible(event);
            };
            case PREPARE_BACKOFF -> switch (event) {
                case BACKOFF_ELAPSED -> PREPARING;
                case WRITE_READY -> ACCEPTING;
                case ENDED -> FINISHED;
                default -> throw impossible(event);
            };
            case ACCEPTING -> switch (event) {
                case REJECTED -> ACCEPT_BACKOFF;
                case STEP_CHOSEN -> PREPARING;
                case ENDED -> FINISHED;
                default -> throw impossible(event);
            };
            case ACCEPT_BACKOFF -> switch (event) {
                case BACKOFF_ELAPSED, STEP_CHOSEN -> PREPARING;
                case ENDED -> FINISHED;
                default -> throw impossible(event);
            };
            case FINISHED -> throw impossible(event);
        };
    }

    /** Returns whether prepare responses count. */
    boolean awaitsPrepares() {
        return this == PREPARING || this == PREPARE_BACKOFF;
    }

    /** Returns whether accept responses count. */
    boolean awaitsAccepts() {
        return this == ACCEPTING || this == ACCEPT_BACKOFF;
    }

    /** Returns whether the present attempt was rejected. */
    boolean isBackingOff() {
        return this == PREPARE_BACKOFF || this == ACCEPT_BACKOFF;
    }

    private IllegalStateException impossible(Event event) {
        return new IllegalStateException(event + " in state " + this);
    }
}
