package burlarch.coordination.membership;

import java.util.Random;

/** The probe under way, direct and then through helpers, and the probes made for others. */
final class FailureDetector {
    /** A probe ends before the next one is due, also when that one comes a little early. */
    private static final double PROBE_PERIOD_FRACTION = 0.9;

    /** A helper gives up sooner than the one who asked, so that its word comes in time. */
    private static final double INDIRECT_PROBE_FRACTION = 0.75;

    private final SwimSettings settings;
    private final MembershipView beliefs;
    private final OutgoingDatagrams outbound;
    private final LocalHealth health;
    private final ProbeTargetSelector targets;
    private final IndirectProbes indirectProbes = new IndirectProbes();
    private int sequence;

    private MemberRecord target;
    private long targetProcessId;
    private int probeSequence;
    private long directDeadlineNanos;
    private long probeDeadlineNanos;
    private boolean direct;
    private int indirectRequests;
    private int nacksReceived;

    FailureDetector(
            SwimSettings settings,
            MembershipView beliefs,
            OutgoingDatagrams outbound,
            LocalHealth health,
            Random random) {
        this.settings = settings;
        this.beliefs = beliefs;
        this.outbound = outbound;
        this.health = health;
        targets = new ProbeTargetSelector(beliefs.table(), random);
        sequence = random.nextInt();
    }

    ProbeTargetSelector targets() {
        return targets;
    }

    /** A sequence that no other ping of this process has for long. */
    int nextSequence() {
        return ++sequence;
    }

    /** Begins a probe unless one is under way. */
    void beginProbe(long now) {
        if (target != null) {
            return;
        }
        target = targets.next();
        if (target == null) {
            return;
        }
        targetProcessId = target.info().processId();
        probeSequence = nextSequence();
        directDeadlineNanos = now + settings.probeTimeoutNanos() * health.multiplier();
        probeDeadlineNanos = now + (long) (settings.probePeriodNanos() * PROBE_PERIOD_FRACTION) * health.multiplier();
        direct = true;
        indirectRequests = 0;
        nacksReceived = 0;
        outbound.ping(target.info().address(), probeSequence, targetProcessId, updateToRefute(target));
    }

    /** Does what is due. */
    void onTimer(long now) {
        for (IndirectProbes.IndirectProbe late = indirectProbes.pollOverdue(now);
                late != null;
                late = indirectProbes.pollOverdue(now)) {
            outbound.nack(late.requester(), late.requesterSequence());
        }
        if (target != null && direct && now - directDeadlineNanos >= 0) {
            requestIndirectProbes();
        }
        if (target != null && now - probeDeadlineNanos >= 0) {
            onProbeFailed(now);
        }
    }

    /** How long until something is due, at most {@code atMost}. */
    long nanosUntilDue(long now, long atMost) {
        long least = indirectProbes.nanosUntilOverdue(now, atMost);
        return target == null ? least : Math.min(least, (direct ? directDeadlineNanos : probeDeadlineNanos) - now);
    }

    void onAck(SwimMessage.Ack ack, long now) {
        IndirectProbes.IndirectProbe relay = indirectProbes.removeBySequence(ack.sequence());
        if (relay != null) {
            outbound.ack(relay.requester(), relay.requesterSequence(), ack.subjectProcessId(), null);
            return;
        }
        if (target == null || ack.sequence() != probeSequence) {
            return;
        }
        if (ack.subjectProcessId() == targetProcessId) {
            health.improve();
        } else if (target.info().processId() == targetProcessId) {
            beliefs.declareDead(target, now);
        }
        target = null;
    }

    void onNack(SwimMessage.Nack nack) {
        if (target != null && nack.sequence() == probeSequence) {
            nacksReceived++;
        }
    }

    void onPingRequest(String from, SwimMessage.PingRequest request, long now) {
        int own = nextSequence();
        long deadline = now + (long) (settings.probeTimeoutNanos() * INDIRECT_PROBE_FRACTION);
        indirectProbes.add(new IndirectProbes.IndirectProbe(own, from, request.sequence(), deadline));
        MemberRecord row = beliefs.table().findByProcess(request.targetProcessId());
        outbound.ping(request.address(), own, request.targetProcessId(), row == null ? null : updateToRefute(row));
    }

    /** Ends all probes without a verdict, as after a pause of this process. */
    void abandonProbes() {
        target = null;
        indirectProbes.clear();
    }

    /** What a member must be told of itself so that it can object; null where it is held alive. */
    static MemberUpdate updateToRefute(MemberRecord row) {
        return row.state() == MemberState.ALIVE ? null : row.update;
    }

    private void requestIndirectProbes() {
        direct = false;
        for (MemberRecord helper : targets.randomAlive(settings.indirectProbeCount(), target)) {
            outbound.pingRequest(helper.info().address(), probeSequence, target.info());
            indirectRequests++;
        }
    }

    private void onProbeFailed(long now) {
        MemberRecord silent = target;
        target = null;
        if (indirectRequests > 0 && nacksReceived == 0) {
            health.worsen();
        }
        if (silent.state() == MemberState.ALIVE && silent.info().processId() == targetProcessId) {
            beliefs.suspect(silent, now);
            outbound.ping(silent.info().address(), nextSequence(), targetProcessId, silent.update);
        }
    }
}
