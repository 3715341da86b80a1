package burlarch.coordination.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Membership by SWIM: each member probes one other per period, directly and then through helpers; who doesn't
 * answer is suspected and may object before it is held dead; news rides on these messages. Time is passed in
 * as nanoseconds of a steady clock. Not for use by several threads at once.
 *
 * <p>A member whose own process stood still gives up its probes without a verdict and lets all suspicions
 * begin anew. Tables that differ while there is no news are compared by a digest and exchanged.
 */
public final class Swim {
    /** How many others a member tells at once that it comes, goes or objects. */
    private static final int ANNOUNCEMENTS = 8;
    /** Ended members and contacts that all live ones together try to reach in a period. */
    private static final int RECONNECTIONS = 4;

    private static final int START_PERIODS = 20;
    private static final double JITTER = 0.1;

    private final SwimSettings settings;
    private final Random random;
    private final LocalHealth health = new LocalHealth();
    private final MembershipView beliefs;
    private final OutgoingDatagrams outbound;
    private final FailureDetector prober;
    private final AntiEntropy sync;
    private final ContactPoints contacts;
    private final long startedAt;
    private long nextPeriod;
    private long wakeUpAt;
    private boolean joined;
    private boolean announced;
    private boolean left;
    private long dropped;

    /**
     * @param seeds addresses, IP:PORT, at which other members may be; the own one among them is passed over
     * @param randomSeed of the order of probes; need not be secret
     */
    public Swim(MemberInfo own, List<String> seeds, SwimSettings settings, long randomSeed, long now) {
        this.settings = settings;
        random = new Random(randomSeed);
        beliefs = new MembershipView(own, settings, health, now);
        outbound = new OutgoingDatagrams(beliefs, settings.maxDatagramBytes());
        prober = new FailureDetector(settings, beliefs, outbound, health, random);
        sync = new AntiEntropy(settings, beliefs, outbound, now);
        contacts = new ContactPoints(seeds, own.address(), random);
        startedAt = now;
        nextPeriod = now;
        wakeUpAt = now;
    }

    /**
     * Takes a datagram in.
     *
     * @param from the sender's address, IP:PORT, to which answers go
     */
    public SwimStep onDatagram(String from, byte[] datagram, long now) {
        noticePause(now);
        SwimMessage message = SwimCodec.decode(datagram);
        if (message == null) {
            dropped++;
        } else if (!left
                && message.header().processId() != beliefs.ownUpdate().info().processId()) {
            joined = true;
            take(from, message, now);
        }
        return step(now);
    }

    /**
     * To be called at once to start, and then at each step's {@link SwimStep#wakeUpAtNanos()}; earlier does no
     * harm.
     */
    public SwimStep onTimer(long now) {
        noticePause(now);
        if (!left) {
            beliefs.declareOverdueDead(now);
            prober.onTimer(now);
            if (now - nextPeriod >= 0) {
                period(now);
            }
        }
        return step(now);
    }

    /** Tells some others that this member goes. After that it neither sends nor changes anything. */
    public SwimStep leave(long now) {
        if (!left) {
            beliefs.leave();
            announce();
            prober.abandonProbes();
            left = true;
        }
        return step(now);
    }

    /** Whether any other member was heard of since the start. */
    public boolean joined() {
        return joined;
    }

    public MemberInfo own() {
        return beliefs.ownUpdate().info();
    }

    /** The live members without the own one, in no order. */
    public List<MemberInfo> members() {
        List<MemberInfo> live = new ArrayList<>();
        for (MemberRecord row : beliefs.table().records()) {
            if (row.state().isLive()) {
                live.add(row.info());
            }
        }
        return live;
    }

    /** What is believed of the member, or null where it isn't known. */
    public MemberState stateOf(String name) {
        MemberRecord row = beliefs.table().findByName(name);
        return row == null ? null : row.state();
    }

    /** Datagrams that were no message, since the start. */
    public long droppedDatagrams() {
        return dropped;
    }

    /** Members that did not fit into the table, since the start. */
    public long rejectedMembers() {
        return beliefs.table().rejected();
    }

    private void take(String from, SwimMessage message, long now) {
        if (message instanceof SwimMessage.SyncRequest) {
            sync.onUpdates(message, now);
            sync.onRequest(from);
        } else if (message instanceof SwimMessage.SyncPage) {
            sync.onUpdates(message, now);
            if (!announced && message.updates().size() > 1) {
                announced = true;
                announce();
            }
        } else {
            for (MemberUpdate claim : message.updates()) {
                beliefs.onGossip(claim, now);
            }
            takeProbe(from, message, now);
        }
        if (beliefs.takeRefuted()) {
            outbound.ownUpdate(from);
            announce();
        }
    }

    private void announce() {
        for (MemberRecord row : prober.targets().randomAlive(ANNOUNCEMENTS, null)) {
            outbound.ownUpdate(row.info().address());
        }
    }

    private void takeProbe(String from, SwimMessage message, long now) {
        MemberRecord sender = beliefs.table().findByProcess(message.header().processId());
        if (message instanceof SwimMessage.Ping ping) {
            MemberUpdate ofSender = sender == null ? null : FailureDetector.updateToRefute(sender);
            outbound.ack(from, ping.sequence(), beliefs.ownUpdate().info().processId(), ofSender);
        } else if (message instanceof SwimMessage.Ack ack) {
            prober.onAck(ack, now);
        } else if (message instanceof SwimMessage.PingRequest request) {
            prober.onPingRequest(from, request, now);
        } else if (message instanceof SwimMessage.Nack nack) {
            prober.onNack(nack);
        }
        if (sender == null) {
            sync.requestSync(from, now);
        } else {
            sync.compareDigest(from, message.header(), now);
        }
    }

    private void period(long now) {
        sync.onPeriod();
        for (String address : beliefs.forgetEnded(now)) {
            contacts.addLost(address);
        }
        seekContacts(now);
        seekEnded();
        prober.beginProbe(now);
        long length = joined ? settings.probePeriodNanos() : settings.probeTimeoutNanos();
        nextPeriod = now + (long) (length * (1 + JITTER * (2 * random.nextDouble() - 1)));
    }

    /** Tries the addresses whose holder isn't known; all the time at first, later some of the members do. */
    private void seekContacts(long now) {
        boolean starting = now - startedAt < START_PERIODS * settings.probePeriodNanos();
        if (!starting && random.nextDouble() * (beliefs.table().liveCount() + 1) >= RECONNECTIONS) {
            return;
        }
        for (int i = starting ? contacts.size() : 1; i > 0; i--) {
            seek(contacts.next());
        }
    }

    private void seek(String address) {
        if (address == null || holdsLiveMember(address)) {
            return;
        }
        if (joined) {
            outbound.ping(address, prober.nextSequence(), 0, beliefs.ownUpdate());
        } else {
            outbound.syncRequest(address);
        }
    }

    /** Tries some of the dead ones: after a cut has healed each needs to hear what is said of it. */
    private void seekEnded() {
        List<MemberRecord> ended = beliefs.table().ended();
        double share = (double) RECONNECTIONS * ended.size() / (beliefs.table().liveCount() + 1);
        int tries = (int) (Math.min(RECONNECTIONS, share) + random.nextDouble());
        for (int i = 0; i < tries && !ended.isEmpty(); i++) {
            MemberRecord row = ended.get(random.nextInt(ended.size()));
            if (row.state() == MemberState.DEAD) {
                outbound.ping(
                        row.info().address(), prober.nextSequence(), row.info().processId(), row.update);
            }
        }
    }

    private boolean holdsLiveMember(String address) {
        for (MemberRecord row : beliefs.table().records()) {
            if (row.state().isLive() && row.info().address().equals(address)) {
                return true;
            }
        }
        return false;
    }

    /** A timer that comes much too late says that this process stood still, not that others are silent. */
    private void noticePause(long now) {
        if (now - wakeUpAt <= settings.probeTimeoutNanos()) {
            return;
        }
        health.onPause();
        prober.abandonProbes();
        beliefs.restartSuspicions(now);
        nextPeriod = now;
        wakeUpAt = now;
    }

    private SwimStep step(long now) {
        List<MemberChange> changes = beliefs.takeChanges();
        for (MemberChange change : changes) {
            MemberRecord row = beliefs.table().findByName(change.member().name());
            if (change.appeared() && row != null) {
                prober.targets().addAtRandomPosition(row);
                contacts.removeLost(change.member().address());
            }
        }
        long wait = left ? settings.deadRetentionNanos() : nextPeriod - now;
        if (!left) {
            wait = prober.nanosUntilDue(now, beliefs.nanosUntilOverdue(now, wait));
        }
        wakeUpAt = now + Math.max(0, wait);
        return new SwimStep(outbound.take(), changes, wakeUpAt);
    }
}
