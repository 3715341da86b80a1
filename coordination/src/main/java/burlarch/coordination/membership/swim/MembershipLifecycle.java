package burlarch.coordination.membership.swim;

/**
 * The lifecycle of this member's own membership. Only {@link #on} changes the phase.
 *
 * <pre>
 * from       event             to
 * JOINING    MESSAGE_RECEIVED  JOINED
 * JOINED     TABLE_RECEIVED    ANNOUNCED: the own update is sent to some members
 * any        LEAVE_REQUESTED   LEFT: the own update is sent to some members
 * </pre>
 *
 * Every other event leaves the phase as it is.
 */
final class MembershipLifecycle {
    /** A phase of the own membership. */
    enum Phase {
        /** No message of another member was received yet. */
        JOINING,
        /** A message was received, but no table that lists several members yet. */
        JOINED,
        /** Several members are known, and the own update was sent to some of them. */
        ANNOUNCED,
        /** The member has left: it sends nothing and changes nothing any more. */
        LEFT
    }

    /** An event that may change the phase. */
    enum Event {
        /** A message of another process was received. */
        MESSAGE_RECEIVED,
        /** A page of another member's table was received, and it lists more than that member itself. */
        TABLE_RECEIVED,
        /** This process shuts down gracefully. */
        LEAVE_REQUESTED
    }

    private Phase phase = Phase.JOINING;

    /**
     * Applies an event.
     *
     * @return whether the phase changed
     */
    boolean on(Event event) {
        Phase before = phase;
        phase = next(before, event);
        return phase != before;
    }

    boolean hasJoined() {
        return phase == Phase.JOINED || phase == Phase.ANNOUNCED;
    }

    boolean hasLeft() {
        return phase == Phase.LEFT;
    }

    private static Phase next(Phase from, Event event) {
        return switch (event) {
            case MESSAGE_RECEIVED -> from == Phase.JOINING ? Phase.JOINED : from;
            case TABLE_RECEIVED -> from == Phase.JOINED ? Phase.ANNOUNCED : from;
            case LEAVE_REQUESTED -> Phase.LEFT;
        };
    }
}
