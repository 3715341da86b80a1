package burlarch.coordination.membership.swim;

import burlarch.coordination.membership.MemberState;
import burlarch.coordination.membership.MemberUpdate;
import burlarch.coordination.membership.SwimMessage;
import java.util.Random;

/**
 * SWIM's failure detector: one own {@link Probe} at a time, direct and then through other members, and the probes made
 * on behalf of others. It reports suspicions and deaths to the {@link MembershipView}.
 */
final class FailureDetector {
    /** A probe ends before the next one is due, also when that one comes a little early. */
    private static final double PROBE_PERIOD_FRACTION = 0.9;

    /** A member that probes for another gives up sooner than the requester, so that its nack comes in time. */
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

    /** A sequence that no other recent ping of this process has. */
    int nextSequence() {
        return ++sequence;
    }

    /** Begins a probe of the next target unless one is in progress. */
    void beginProbe(long nowNanos) {
        if (isProbing()) {
            return;
        }
        MemberRecord target = targets.next();
        if (target == null) {
            return;
        }
        long directNanos = settings.probeTimeoutNanos() * health.multiplier();
        long probeNanos = (long) (settings.probePeriodNanos() * PROBE_PERIOD_FRACTION) * health.multiplier();
        probe = new Probe(target, nextSequence(), nowNanos + directNanos, nowNanos + probeNanos);
        outgoing.ping(target.info().address(), probe.sequence, probe.targetProcessId, updateToRefute(target));
    }

    /** Does what is due. */
    void onTimer(long nowNanos) {
        sendDueNacks(nowNanos);
        if (isProbing() && probe.isDirectOverdue(nowNanos)) {
            requestIndirectProbes();
        }
        if (isProbing() && probe.isOverdue(nowNanos)) {
            onProbeFailed(nowNanos);
        }
    }

    /** Nanoseconds until something is due, at most {@code atMostNanos}. */
    long nanosUntilDue(long nowNanos, long atMostNanos) {
        long least = indirectProbes.nanosUntilOverdue(nowNanos, atMostNanos);
        return isProbing() ? Math.min(least, probe.nanosUntilDue(nowNanos)) : least;
    }

    /** An ack came: for a probe made for another member it is passed on, else it may end the own probe. */
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

    /** A member that was asked to probe the target got no ack from it, but reaches this member. */
    void onNack(SwimMessage.Nack nack) {
        if (isProbing() && nack.sequence() == probe.sequence) {
            probe.onNack();
        }
    }

    /** Another member asks for a probe of the target. */
    void onPingRequest(String from, SwimMessage.PingRequest request, long nowNanos) {
        int ownSequence = nextSequence();
        long deadline = nowNanos + (long) (settings.probeTimeoutNanos() * INDIRECT_PROBE_FRACTION);
        indirectProbes.add(new IndirectProbes.IndirectProbe(ownSequence, from, request.sequence(), deadline));
        MemberRecord target = view.table().findByProcess(request.targetProcessId());
        MemberUpdate first = target == null ? null : updateToRefute(target);
        outgoing.ping(request.address(), ownSequence, request.targetProcessId(), first);
    }

    /** Ends all probes without a result, as after a pause of this process. */
    void abandonProbes() {
        if (isProbing()) {
            probe.end();
        }
        indirectProbes.clear();
    }

    /** The update that the member must get to be able to refute it; null where it is ALIVE here. */
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
