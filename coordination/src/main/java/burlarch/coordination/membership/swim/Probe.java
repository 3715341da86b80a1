package burlarch.coordination.membership.swim;

/**
 * The own probe of one member.
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
    /** How far the probe is. */
    enum Phase {
        /** The target was pinged; no other member was asked to probe it yet. */
        DIRECT,
        /** Others were asked to probe the target too. */
        INDIRECT,
        /** The result is known, or given up. */
        ENDED
    }

    final MemberRecord target;
    /** The target's process when the probe began; by the end it may have been replaced. */
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

    /** Whether the target's present process is the one that was probed. */
    boolean isOfPresentProcess() {
        return target.info().processId() == targetProcessId;
    }

    void onIndirectRequested(int members) {
        phase = Phase.INDIRECT;
        indirectRequests = members;
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

    /** Whether none of the members that were asked sent even a nack: a sign that this member is at fault itself. */
    boolean gotNoIndirectResponse() {
        return indirectRequests > 0 && nacksReceived == 0;
    }
}
