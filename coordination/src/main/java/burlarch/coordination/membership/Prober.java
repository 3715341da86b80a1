package burlarch.coordination.membership;

import java.util.Random;

/** The probe under way, direct and then through helpers, and the probes made for others. */
final class Prober {
    /** A probe ends before the next one is due, also when that one comes a little early. */
    private static final double PART_OF_PERIOD = 0.9;

    /** A helper gives up sooner than the one who asked, so that its word comes in time. */
    private static final double PART_FOR_HELPERS = 0.75;

    private final SwimSettings settings;
    private final Beliefs beliefs;
    private final Outbound outbound;
    private final LocalHealth health;
    private final ProbeRing ring;
    private final Relays relays = new Relays();
    private int sequence;

    private MemberRecord target;
    private long targetProcess;
    private int targetSequence;
    private long directUntil;
    private long until;
    private boolean direct;
    private int helpersAsked;
    private int helpersHeard;

    Prober(SwimSettings settings, Beliefs beliefs, Outbound outbound, LocalHealth health, Random random) {
        this.settings = settings;
        this.beliefs = beliefs;
        this.outbound = outbound;
        this.health = health;
        ring = new ProbeRing(beliefs.table(), random);
        sequence = random.nextInt();
    }

    ProbeRing ring() {
        return ring;
    }

    /** A sequence that no other ping of this process has for long. */
    int nextSequence() {
        return ++sequence;
    }

    /** Begins a probe unless one is under way. */
    void begin(long now) {
        if (target != null) {
            return;
        }
        target = ring.next();
        if (target == null) {
            return;
        }
        targetProcess = target.info().incarnationOfProcess();
        targetSequence = nextSequence();
        directUntil = now + settings.probeTimeout() * health.multiplier();
        until = now + (long) (settings.probePeriod() * PART_OF_PERIOD) * health.multiplier();
        direct = true;
        helpersAsked = 0;
        helpersHeard = 0;
        outbound.ping(target.info().address(), targetSequence, targetProcess, claimToShow(target));
    }

    /** Does what is due. */
    void onTimer(long now) {
        for (Relays.Relay late = relays.overdue(now); late != null; late = relays.overdue(now)) {
            outbound.nack(late.requester(), late.requesterSequence());
        }
        if (target != null && direct && now - directUntil >= 0) {
            askHelpers();
        }
        if (target != null && now - until >= 0) {
            fail(now);
        }
    }

    /** How long until something is due, at most {@code atMost}. */
    long untilDue(long now, long atMost) {
        long least = relays.untilOverdue(now, atMost);
        return target == null ? least : Math.min(least, (direct ? directUntil : until) - now);
    }

    void onAck(SwimMessage.Ack ack, long now) {
        Relays.Relay relay = relays.answered(ack.sequence());
        if (relay != null) {
            outbound.ack(relay.requester(), relay.requesterSequence(), ack.subject(), null);
            return;
        }
        if (target == null || ack.sequence() != targetSequence) {
            return;
        }
        if (ack.subject() == targetProcess) {
            health.improve();
        } else if (target.info().incarnationOfProcess() == targetProcess) {
            beliefs.bury(target, now);
        }
        target = null;
    }

    void onNack(SwimMessage.Nack nack) {
        if (target != null && nack.sequence() == targetSequence) {
            helpersHeard++;
        }
    }

    void onPingRequest(String from, SwimMessage.PingRequest request, long now) {
        int own = nextSequence();
        long deadline = now + (long) (settings.probeTimeout() * PART_FOR_HELPERS);
        relays.add(new Relays.Relay(own, from, request.sequence(), deadline));
        MemberRecord row = beliefs.table().ofProcess(request.target());
        outbound.ping(request.address(), own, request.target(), row == null ? null : claimToShow(row));
    }

    /** Ends all probes without a verdict, as after a pause of this process. */
    void abandon() {
        target = null;
        relays.clear();
    }

    /** What a member must be told of itself so that it can object; null where it is held alive. */
    static MemberClaim claimToShow(MemberRecord row) {
        return row.state() == MemberState.ALIVE ? null : row.claim;
    }

    private void askHelpers() {
        direct = false;
        for (MemberRecord helper : ring.helpers(settings.indirectProbes(), target)) {
            outbound.pingRequest(helper.info().address(), targetSequence, target.info());
            helpersAsked++;
        }
    }

    private void fail(long now) {
        MemberRecord silent = target;
        target = null;
        if (helpersAsked > 0 && helpersHeard == 0) {
            health.worsen();
        }
        if (silent.state() == MemberState.ALIVE && silent.info().incarnationOfProcess() == targetProcess) {
            beliefs.suspect(silent, now);
            outbound.ping(silent.info().address(), nextSequence(), targetProcess, silent.claim);
        }
    }
}
