package burlarch.coordination.ownership;

/**
 * The states of an {@link OwnershipLease}. All transitions are in {@link #after}; an event that has no
 * transition in a state is a programming error.
 *
 * <pre>
 * event           | UNCLAIMED | CLAIMING        | AWAITING_EXPIRY | OWNED     | LOST
 * ----------------+-----------+-----------------+-----------------+-----------+-----------
 * CLAIM_SENT      | CLAIMING  |                 |                 |           |
 * CLAIM_REJECTED  |           | UNCLAIMED       |                 |           |
 * GRANTED_FREE    |           | OWNED           |                 |           |
 * GRANTED_IN_USE  |           | AWAITING_EXPIRY |                 |           |
 * WAIT_ELAPSED    |           |                 | OWNED           |           |
 * SUPERSEDED      |           |                 | LOST            | LOST      |
 * EXPIRED         |           |                 | LOST            | LOST      |
 * RELEASED        |           | UNCLAIMED       | UNCLAIMED       | UNCLAIMED | UNCLAIMED
 * </pre>
 */
public enum LeaseState {
    /** Not owned here and not claimed. */
    UNCLAIMED,
    /** A claim was sent to the register. */
    CLAIMING,
    /** The register names this process as owner; the previous owner may still act. */
    AWAITING_EXPIRY,
    /** Owned here; see {@link OwnershipLease#mayAct}. */
    OWNED,
    /** No longer owned here; {@link OwnershipLease#release} permits another claim. */
    LOST;

    /** An event that moves a lease from one state to the next. */
    enum Event {
        /** A claim was sent to the register. */
        CLAIM_SENT,
        /** The register did not accept the claim, or did not respond. */
        CLAIM_REJECTED,
        /** The register accepted the claim, and no other process can still act as owner. */
        GRANTED_FREE,
        /** The register accepted the claim, and the previous owner may still act. */
        GRANTED_IN_USE,
        /** The previous owner's lease has expired. */
        WAIT_ELAPSED,
        /** The register names another owner, or a higher token. */
        SUPERSEDED,
        /** The register has not confirmed the ownership for a complete lease. */
        EXPIRED,
        /** This process releases the ownership, or acknowledges its loss. */
        RELEASED
    }

    /**
     * Returns the state after an event.
     *
     * @throws IllegalStateException when the event cannot happen in this state
     */
    LeaseState after(Event event) {
        return switch (this) {
            case UNCLAIMED -> switch (event) {
                case CLAIM_SENT -> CLAIMING;
                default -> throw impossible(event);
            };
            case CLAIMING -> switch (event) {
                case CLAIM_REJECTED, RELEASED -> UNCLAIMED;
                case GRANTED_FREE -> OWNED;
                case GRANTED_IN_USE -> AWAITING_EXPIRY;
                default -> throw impossible(event);
            };
            case AWAITING_EXPIRY -> switch (event) {
                case WAIT_ELAPSED -> OWNED;
                case SUPERSEDED, EXPIRED -> LOST;
                case RELEASED -> UNCLAIMED;
                default -> throw impossible(event);
            };
            case OWNED -> switch (event) {
                case SUPERSEDED, EXPIRED -> LOST;
                case RELEASED -> UNCLAIMED;
                default -> throw impossible(event);
            };
            case LOST -> switch (event) {
                case RELEASED -> UNCLAIMED;
                default -> throw impossible(event);
            };
        };
    }

    /** Returns whether the register has accepted this process as owner, as far as is known here. */
    public boolean isGranted() {
        return this == AWAITING_EXPIRY || this == OWNED;
    }

    private IllegalStateException impossible(Event event) {
        return new IllegalStateException(event + " in state " + this);
    }
}
