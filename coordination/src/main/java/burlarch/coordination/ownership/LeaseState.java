package burlarch.coordination.ownership;

/** Where an {@link OwnershipLease} stands. */
public enum LeaseState {
    /** Not held here and not asked for. */
    FREE,
    /** A claim is on its way to the register. */
    CLAIMING,
    /** The claim is in the register; a former holder may still act. */
    WAITING_OUT,
    /** Held here; see {@link OwnershipLease#mayAct}. */
    HOLDING,
    /** Held here before and no longer; {@link OwnershipLease#release} makes it free for another claim. */
    LOST;

    boolean mayBecome(LeaseState next) {
        switch (this) {
            case FREE:
                return next == CLAIMING;
            case CLAIMING:
                return next == WAITING_OUT || next == HOLDING || next == FREE;
            case WAITING_OUT:
                return next == HOLDING || next == LOST || next == FREE;
            case HOLDING:
                return next == LOST || next == FREE;
            default:
                return next == FREE;
        }
    }
}
