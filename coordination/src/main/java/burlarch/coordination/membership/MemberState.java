package burlarch.coordination.membership;

/**
 * The state of a member in the local view of another member.
 *
 * <p>Of two updates of the same process and incarnation, the one with the later constant overrides the other, so the
 * declaration order is part of the protocol.
 *
 * <p>{@code MemberTable.apply} makes every transition. "Higher incarnation" is a refutation by the member itself.
 *
 * <pre>
 * from              event                                                   to
 * (unknown)         update ALIVE or SUSPECT                                 ALIVE or SUSPECT
 * ALIVE             own probe failed, or update SUSPECT                     SUSPECT
 * SUSPECT           update ALIVE of a higher incarnation                    ALIVE
 * SUSPECT           suspicion time-out, or update DEAD                      DEAD
 * ALIVE             update DEAD, or another process answers at its address  DEAD
 * any but LEFT      update LEFT                                             LEFT
 * DEAD, LEFT        update ALIVE of a higher incarnation                    ALIVE
 * any               update ALIVE of another process that overrides          ALIVE (of that process)
 * DEAD, LEFT        retention time over, or entry evicted from full table   (unknown)
 * </pre>
 */
public enum MemberState {
    /** It answers probes, or another member reported it alive. */
    ALIVE,
    /** It did not answer a probe. It counts as live until the suspicion time-out, before which it may refute. */
    SUSPECT,
    /** It did not refute within the suspicion time-out, or another process has taken its place. */
    DEAD,
    /** It announced a graceful shutdown. */
    LEFT;

    /** Returns whether the member counts as live. */
    public boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
