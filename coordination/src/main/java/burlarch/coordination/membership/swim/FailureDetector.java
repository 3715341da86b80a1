package burlarch.coordination.membership.swim;

import burlarch.coordination.membership.MemberState;
import burlarch.coordination.membership.MemberUpdate;
import burlarch.coordination.membership.SwimMessage;
import java.util.Random;

/**
 * SWIM's failure detector: runs one {@link Probe} of this member at a time, direct and then indirect, and the probes
 * made on behalf of other members. It reports suspicions and deaths to the {@link MembershipView}.
 */
final class FailureDetector {
    /**
     * Part of a probe period that a probe may take, so that it ends before the next one even if that comes early by
     * jitter.
     */
    private static final double PROBE_PERIOD_FRACTION = 0.9;

    /**
     * Part of the probe time-out after which an indirect probe ends, so that the nack reaches the requester in time.
     */
    private static final double INDIRECT_PROBE_FRACTION = 0.75;

    private final SwimSettings settings;
    private final MembershipView view;
    private final OutgoingDatagrams outgoing;
    private final LocalHealth health;
    private final ProbeTargetSelector targets;
    private final IndirectProbes indirectProbes = new IndirectProbes();
    private int sequence;
    /** The latest own probe; null before the first one. */
    private Probe probe;

    FailureDetector(
            SwimSettings settings, MembershipView view, OutgoingDatagrams outgoing, LocalHealth health, Random random) {
        this.settings = settings;
        this.view = view;
        this.outgoing = outgoing;
        this.health = health;
        targets = new ProbeTargetSelector(view.table(), random);
        sequence = random.nextInt();
    }

    ProbeTargetSelector targets() {
        return targets;
    }

    /** Returns a sequence number that no other recent ping of this process has. */
    int nextSequence() {
        return ++sequence;
    }

    /** Begins a probe of the next target unless a probe is in progress. */
    void beginProbe(long nowNanos) {
        if (isProbing()) {
            return;
        }
        MemberRecord target = targets.next();
        if (target == null) {
            return;
        }
        long directTimeoutNanos = settings.probeTimeoutNanos() * health.multiplier();
        long wholeProbeNanos = (long) (settings.probePeriodNanos() * PROBE_PERIOD_FRACTION) * health.multiplier();
        probe = new Probe(target, nextSequence(), nowNanos + directTimeoutNanos, nowNanos + wholeProbeNanos);
        outgoing.ping(target.info().address(), probe.sequence, probe.targetProcessId, updateToRefute(target));
    }

    /** Sends due nacks and ping requests, and ends an overdue probe. */
    void onTimer(long nowNanos) {
        sendDueNacks(nowNanos);
        if (isProbing() && probe.isDirectOverdue(nowNanos)) {
            requestIndirectProbes();
        }
        if (isProbing() && probe.isOverdue(nowNanos)) {
            onProbeFailed(nowNanos);
        }
    }

    /** Returns the nanoseconds until {@link #onTimer} has something to do, at most {@code atMostNanos}. */
    long nanosUntilDue(long nowNanos, long atMostNanos) {
        long untilOverdueNanos = indirectProbes.nanosUntilOverdue(nowNanos, atMostNanos);
        return isProbing() ? Math.min(untilOverdueNanos, probe.nanosUntilDue(nowNanos)) : untilOverdueNanos;
    }

    /** Handles an ack: forwards that of a probe made for another member; otherwise it may end the own probe. */
    void onAck(SwimMessage.Ack ack, long nowNanos) {
        IndirectProbes.IndirectProbe forOther = indirectProbes.removeBySequence(ack.sequence());
        if (forOther != null) {
            outgoing.ack(forOther.requester(), forOther.requesterSequence(), ack.subjectProcessId(), null);
            return;
        }
        if (!isProbing() || ack.sequence() != probe.sequence) {
            return;
        }
        if (ack.subjectProcessId() == probe.targetProcessId) {
            health.improve();
        } else if (probe.isOfPresentProcess()) {
            view.declareDead(probe.target, nowNanos);
        }
        probe.end();
    }

    /** Handles a nack: a member that was asked to probe the target got no ack from it, but reaches this member. */
    void onNack(SwimMessage.Nack nack) {
        if (isProbing() && nack.sequence() == probe.sequence) {
            probe.onNack();
        }
    }

    /** Handles the request of another member to probe a target. */
    void onPingRequest(String from, SwimMessage.PingRequest request, long nowNanos) {
        int ownSequence = nextSequence();
        long deadlineNanos = nowNanos + (long) (settings.probeTimeoutNanos() * INDIRECT_PROBE_FRACTION);
        indirectProbes.add(new IndirectProbes.IndirectProbe(ownSequence, from, request.sequence(), deadlineNanos));
        MemberRecord target = view.table().findByProcess(request.targetProcessId());
        MemberUpdate updateToSend = target == null ? null : updateToRefute(target);
        outgoing.ping(request.address(), ownSequence, request.targetProcessId(), updateToSend);
    }

    /** Ends all probes without a result, for example after a pause of this process. */
    void abandonProbes() {
        if (isProbing()) {
            probe.end();
        }
        indirectProbes.clear();
    }

    /** Returns the update that the member has to receive to refute it; null if the member is ALIVE here. */
    static MemberUpdate updateToRefute(MemberRecord record) {
        return record.state() == MemberState.ALIVE ? null : record.update;
    }

    private boolean isProbing() {
        return probe != null && !probe.hasEnded();
    }

    private void sendDueNacks(long nowNanos) {
        IndirectProbes.IndirectProbe overdue = indirectProbes.pollOverdue(nowNanos);
        while (overdue != null) {
            outgoing.nack(overdue.requester(), overdue.requesterSequence());
            overdue = indirectProbes.pollOverdue(nowNanos);
        }
    }

    private void requestIndirectProbes() {
        int requested = 0;
        for (MemberRecord member : targets.randomAliveExcept(probe.target, settings.indirectProbeCount())) {
            outgoing.pingRequest(member.info().address(), probe.sequence, probe.target.info());
            requested++;
        }
        probe.onIndirectRequested(requested);
    }

    private void onProbeFailed(long nowNanos) {
        probe.end();
        if (probe.gotNoIndirectResponse()) {
            health.worsen();
        }
        MemberRecord target = probe.target;
        if (target.state() == MemberState.ALIVE && probe.isOfPresentProcess()) {
            view.suspect(target, nowNanos);
            outgoing.ping(target.info().address(), nextSequence(), probe.targetProcessId, target.update);
        }
    }
}
