package burlarch.coordination.membership.swim;

/**
 * A probe of one member by this member.
 *
 * <pre>
 * from      event                                          to
 * (none)    beginProbe: ping sent                          DIRECT
 * DIRECT    direct deadline: ping requests sent            INDIRECT
 * DIRECT,   ack of the expected process                    ENDED, health improves
 * INDIRECT  ack of another process at the address          ENDED, the expected process is dead
 *           probe deadline                                 ENDED, the process becomes suspect
 *           abandoned after a pause or on leaving          ENDED, without a result
 * </pre>
 */
final class Probe {
    /** The phase of a probe. */
    enum Phase {
        /** The target was pinged; no other member has been asked to probe it yet. */
        DIRECT,
        /** Other members were asked to probe the target too. */
        INDIRECT,
        /** The result is known, or the probe was abandoned. */
        ENDED
    }

    final MemberRecord target;
    /** The target's process when the probe began; another process may replace it during the probe. */
    final long targetProcessId;

    final int sequence;
    private final long directDeadlineNanos;
    private final long deadlineNanos;
    private Phase phase = Phase.DIRECT;
    private int indirectRequests;
    private int nacksReceived;

    Probe(MemberRecord target, int sequence, long directDeadlineNanos, long deadlineNanos) {
        this.target = target;
        this.targetProcessId = target.info().processId();
        this.sequence = sequence;
        this.directDeadlineNanos = directDeadlineNanos;
        this.deadlineNanos = deadlineNanos;
    }

    boolean isDirectOverdue(long nowNanos) {
        return phase == Phase.DIRECT && nowNanos - directDeadlineNanos >= 0;
    }

    boolean isOverdue(long nowNanos) {
        return phase != Phase.ENDED && nowNanos - deadlineNanos >= 0;
    }

    long nanosUntilDue(long nowNanos) {
        return (phase == Phase.DIRECT ? directDeadlineNanos : deadlineNanos) - nowNanos;
    }

    /** Returns whether the target's present process is the one that was probed. */
    boolean isOfPresentProcess() {
        return target.info().processId() == targetProcessId;
    }

    void onIndirectRequested(int count) {
        phase = Phase.INDIRECT;
        indirectRequests = count;
    }

    void onNack() {
        nacksReceived++;
    }

    void end() {
        phase = Phase.ENDED;
    }

    boolean hasEnded() {
        return phase == Phase.ENDED;
    }

    /**
     * Returns whether no member that was asked sent even a nack, which is evidence that this member itself is at
     * fault.
     */
    boolean gotNoIndirectResponse() {
        return indirectRequests > 0 && nacksReceived == 0;
    }
}
