package burlarch.coordination.membership;

/**
 * What is believed of a member; the order is the one in which claims of one incarnation outweigh each other.
 */
public enum MemberState {
    /** Answers, or was vouched for. */
    ALIVE,
    /** Did not answer; still treated as alive until its time to object has passed. */
    SUSPECT,
    /** Did not object in time, or its process was replaced. */
    DEAD,
    /** Said that it goes. */
    LEFT;

    /** Whether the member counts among the present ones. */
    public boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
