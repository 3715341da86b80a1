package burlarch.coordination.membership;

/**
 * One membership update: the state of a member at one of its incarnations, as members send it to each other.
 *
 * <p>Invariant <em>own incarnation</em>: only the member itself raises its incarnation, when it refutes what others say
 * of it ({@code MembershipView}). An update of a higher incarnation therefore always comes from the member.
 *
 * @param info the member's process
 * @param incarnation the member's refutation counter; 0 to {@link #MAX_INCARNATION}
 * @param state the member's state
 */
public record MemberUpdate(MemberInfo info, long incarnation, MemberState state) {
    /** Above any incarnation that a correct member reaches; bounds what a garbled update makes a member count up to. */
    public static final long MAX_INCARNATION = Long.MAX_VALUE / 2;

    public MemberUpdate {
        if (incarnation < 0 || incarnation > MAX_INCARNATION) {
            throw new IllegalArgumentException("incarnation out of bounds: " + incarnation);
        }
    }

    /**
     * Whether this update overrides the known one of the same name.
     *
     * <p>Of one process, the higher incarnation overrides, then the later {@link MemberState}. Of different processes
     * with one name:
     *
     * <ul>
     *   <li>SUSPECT, DEAD and LEFT say nothing about the known process and never override.
     *   <li>ALIVE overrides a DEAD or LEFT process.
     *   <li>ALIVE overrides a live process by the higher incarnation, which a restarted process raises above all that
     * it
     *       hears of its name; with equal incarnations by the higher process id, so that all members decide alike.
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

    /** Whether both are about one process. */
    public boolean isOfSameProcess(MemberUpdate other) {
        return info.processId() == other.info.processId();
    }

    /** This update with another state. */
    public MemberUpdate withState(MemberState other) {
        return other == state ? this : new MemberUpdate(info, incarnation, other);
    }
}
