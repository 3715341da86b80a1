package burlarch.coordination.ownership;

/** Where an {@link OwnershipLease} stands. */
public enum LeaseState {
    /** Not held here and not asked for. */
    UNCLAIMED,
    /** A claim is on its way to the register. */
    CLAIMING,
    /** The claim is in the register; a former holder may still act. */
    AWAITING_EXPIRY,
    /** Held here; see {@link OwnershipLease#mayAct}. */
    OWNED,
    /** Held here before and no longer; {@link OwnershipLease#release} makes it free for another claim. */
    LOST;

    boolean mayBecome(LeaseState next) {
        switch (this) {
            case UNCLAIMED:
                return next == CLAIMING;
            case CLAIMING:
                return next == AWAITING_EXPIRY || next == OWNED || next == UNCLAIMED;
            case AWAITING_EXPIRY:
                return next == OWNED || next == LOST || next == UNCLAIMED;
            case OWNED:
                return next == LOST || next == UNCLAIMED;
            default:
                return next == UNCLAIMED;
        }
    }
}
