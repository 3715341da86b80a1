package burlarch.coordination.membership;

/**
 * One statement on a member, as it travels between members.
 *
 * @param incarnation rises when the member itself objects to what is said of it; 0 or more
 */
public record MemberUpdate(MemberInfo info, long incarnation, MemberState state) {
    /** Above any honest incarnation; bounds what a member may be made to count up to. */
    public static final long MAX_INCARNATION = Long.MAX_VALUE / 2;

    public MemberUpdate {
        if (incarnation < 0 || incarnation > MAX_INCARNATION) {
            throw new IllegalArgumentException("incarnation out of bounds: " + incarnation);
        }
    }

    /**
     * Whether this claim takes the place of a known one on the same name.
     *
     * <p>Within one process the higher incarnation wins, then the graver state. That another process of the
     * name is in trouble says nothing on the known one. That another is alive wins over a dead one at once;
     * against a live one by its incarnation, which a restarted process raises above all that it hears of its
     * name.
     */
    boolean overrides(MemberUpdate known) {
        if (isOfSameProcess(known)) {
            return incarnation > known.incarnation
                    || incarnation == known.incarnation && state.compareTo(known.state) > 0;
        }
        if (state != MemberState.ALIVE) {
            return false;
        }
        return !known.state.isLive()
                || incarnation > known.incarnation
                || incarnation == known.incarnation && info.processId() > known.info.processId();
    }

    boolean isOfSameProcess(MemberUpdate other) {
        return info.processId() == other.info.processId();
    }

    MemberUpdate withState(MemberState other) {
        return other == state ? this : new MemberUpdate(info, incarnation, other);
    }
}
