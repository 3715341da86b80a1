package burlarch.coordination.membership;

/**
 * A membership update: the state of a member at one of its incarnations, as members send it to each other.
 *
 * <p>Invariant <em>own incarnation</em>: only the member itself raises its incarnation, when it refutes an update of
 * others about it ({@code MembershipView}). An update of a higher incarnation therefore always comes from the member.
 *
 * @param info the member's process
 * @param incarnation the member's refutation counter; 0 to {@link #MAX_INCARNATION}
 * @param state the member's state
 */
public record MemberUpdate(MemberInfo info, long incarnation, MemberState state) {
    /** Largest valid incarnation, above any that a correct member reaches; bounds the effect of a corrupted update. */
    public static final long MAX_INCARNATION = Long.MAX_VALUE / 2;

    public MemberUpdate {
        if (incarnation < 0 || incarnation > MAX_INCARNATION) {
            throw new IllegalArgumentException(
                    "incarnation out of range, expected 0 to MAX_INCARNATION: " + incarnation);
        }
    }

    /**
     * Returns whether this update overrides the known one of the same name.
     *
     * <p>For the same process, the higher incarnation overrides, then the later {@link MemberState}. For different
     * processes of the same name:
     *
     * <ul>
     *   <li>SUSPECT, DEAD and LEFT do not concern the known process and never override.
     *   <li>ALIVE overrides a DEAD or LEFT process.
     *   <li>ALIVE overrides a live process with the higher incarnation, which a restarted process raises above all
     *       that it receives for its name; with equal incarnations, with the higher process id, so that all members
     *       decide in the same way.
     * </ul>
     */
    public boolean overrides(MemberUpdate known) {
        if (isOfSameProcess(known)) {
            return incarnation > known.incarnation
                    || incarnation == known.incarnation && state.compareTo(known.state) > 0;
        }
        if (state != MemberState.ALIVE) {
            return false;
        }
        if (!known.state.isLive() || incarnation > known.incarnation) {
            return true;
        }
        return incarnation == known.incarnation && info.processId() > known.info.processId();
    }

    /** Returns whether both updates are about the same process. */
    public boolean isOfSameProcess(MemberUpdate other) {
        return info.processId() == other.info.processId();
    }

    /** Returns a copy of this update with another state. */
    public MemberUpdate withState(MemberState other) {
        return other == state ? this : new MemberUpdate(info, incarnation, other);
    }
}
