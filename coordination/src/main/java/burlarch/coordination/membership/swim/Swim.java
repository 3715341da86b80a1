package burlarch.coordination.membership.swim;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberState;
import burlarch.coordination.membership.SwimCodec;
import burlarch.coordination.membership.SwimMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * One member of a SWIM group: takes datagrams and timer calls in, and gives datagrams and changes of members out.
 *
 * <p>Each member probes one other per period, directly and then through other members. One that doesn't answer becomes
 * SUSPECT and may refute until the suspicion time-out, when it becomes DEAD. Updates are piggybacked on the probes.
 * Where digests differ although no gossip is under way, members exchange their tables.
 *
 * <p>Invariants, beside those of {@link MembershipView} and {@link MemberTable}:
 *
 * <ul>
 *   <li><em>Own pauses prove nothing</em>: a process that stood still abandons its probes without a result, and all its
 *       suspicions begin anew.
 *   <li><em>Determinism</em>: the output depends only on the inputs, their times and the random seed.
 * </ul>
 *
 * <p>Times are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class Swim {
    /** A period's length varies at random by up to this fraction, so that not all members probe at the same time. */
    private static final double JITTER = 0.1;

    private final SwimSettings settings;
    private final Random random;
    private final MembershipLifecycle lifecycle = new MembershipLifecycle();
    private final LocalHealth health = new LocalHealth();
    private final MembershipView view;
    private final OutgoingDatagrams outgoing;
    private final FailureDetector detector;
    private final AntiEntropy antiEntropy;
    private final Reconnector reconnector;
    private final MessageHandler messages;
    private long nextPeriodAtNanos;
    private long wakeUpAtNanos;
    private long droppedDatagrams;

    /**
     * @param seeds addresses, IP:PORT, at which other members may be; the own one among them is ignored
     * @param randomSeed seed of the order of probes; need not be secret
     */
    public Swim(MemberInfo own, List<String> seeds, SwimSettings settings, long randomSeed, long nowNanos) {
        this.settings = settings;
        random = new Random(randomSeed);
        view = new MembershipView(own, settings, health, nowNanos);
        outgoing = new OutgoingDatagrams(view, settings.maxDatagramBytes());
        detector = new FailureDetector(settings, view, outgoing, health, random);
        antiEntropy = new AntiEntropy(settings, view, outgoing, nowNanos);
        ContactPoints contactPoints = new ContactPoints(seeds, own.address(), random);
        reconnector = new Reconnector(settings, view, outgoing, detector, lifecycle, contactPoints, random, nowNanos);
        messages = new MessageHandler(view, outgoing, detector, antiEntropy, lifecycle);
        nextPeriodAtNanos = nowNanos;
        wakeUpAtNanos = nowNanos;
    }

    /**
     * Handles a datagram. One that is no message is counted and dropped; the own ones are ignored.
     *
     * @param from the sender's address, IP:PORT, to which responses go
     */
    public SwimStep onDatagram(String from, byte[] datagram, long nowNanos) {
        noticePause(nowNanos);
        Optional<SwimMessage> message = SwimCodec.decode(datagram);
        if (message.isEmpty()) {
            droppedDatagrams++;
        } else if (!lifecycle.hasLeft() && !isOwn(message.get())) {
            messages.onMessage(from, message.get(), nowNanos);
        }
        return step(nowNanos);
    }

    /**
     * Does what is due. Call it at once to start, and then at each step's {@link SwimStep#wakeUpAtNanos}; an earlier
     * call is harmless.
     */
    public SwimStep onTimer(long nowNanos) {
        noticePause(nowNanos);
        if (!lifecycle.hasLeft()) {
            view.declareOverdueDead(nowNanos);
            detector.onTimer(nowNanos);
            if (nowNanos - nextPeriodAtNanos >= 0) {
                beginPeriod(nowNanos);
            }
        }
        return step(nowNanos);
    }

    /** Tells some members that this one leaves. After that it neither sends nor changes anything. */
    public SwimStep leave(long nowNanos) {
        if (lifecycle.on(MembershipLifecycle.Event.LEAVE_REQUESTED)) {
            view.leave();
            messages.announce();
            detector.abandonProbes();
        }
        return step(nowNanos);
    }

    /** Whether another member was heard of since the start; false after {@link #leave}. */
    public boolean joined() {
        return lifecycle.hasJoined();
    }

    /** This member's own process. */
    public MemberInfo own() {
        return view.ownUpdate().info();
    }

    /** The live members without this one, in no order. */
    public List<MemberInfo> members() {
        List<MemberInfo> live = new ArrayList<>();
        for (MemberRecord record : view.table().records()) {
            if (record.state().isLive()) {
                live.add(record.info());
            }
        }
        return live;
    }

    /** The member's state in this local view, empty where the member isn't known. */
    public Optional<MemberState> stateOf(String name) {
        return Optional.ofNullable(view.table().findByName(name)).map(MemberRecord::state);
    }

    /** Datagrams that were no message, since the start. */
    public long droppedDatagrams() {
        return droppedDatagrams;
    }

    /** Members that did not fit into the table, since the start. */
    public long rejectedMembers() {
        return view.table().rejected();
    }

    private boolean isOwn(SwimMessage message) {
        return message.header().processId() == own().processId();
    }

    private void beginPeriod(long nowNanos) {
        antiEntropy.onPeriod();
        reconnector.onPeriod(nowNanos);
        detector.beginProbe(nowNanos);
        long lengthNanos = lifecycle.hasJoined() ? settings.probePeriodNanos() : settings.probeTimeoutNanos();
        double jitter = JITTER * (2 * random.nextDouble() - 1);
        nextPeriodAtNanos = nowNanos + (long) (lengthNanos * (1 + jitter));
    }

    /** A call that comes much too late shows that this process stood still, not that others don't respond. */
    private void noticePause(long nowNanos) {
        if (nowNanos - wakeUpAtNanos <= settings.probeTimeoutNanos()) {
            return;
        }
        health.onPause();
        detector.abandonProbes();
        view.restartSuspicions(nowNanos);
        nextPeriodAtNanos = nowNanos;
        wakeUpAtNanos = nowNanos;
    }

    private SwimStep step(long nowNanos) {
        List<MemberChange> changes = view.takeChanges();
        for (MemberChange change : changes) {
            MemberRecord record = view.table().findByName(change.member().name());
            if (change.appeared() && record != null) {
                detector.targets().addAtRandomPosition(record);
                reconnector.onAppeared(change.member());
            }
        }
        wakeUpAtNanos = nowNanos + Math.max(0, nanosUntilWakeUp(nowNanos));
        return new SwimStep(outgoing.take(), changes, wakeUpAtNanos);
    }

    private long nanosUntilWakeUp(long nowNanos) {
        if (lifecycle.hasLeft()) {
            return settings.deadRetentionNanos();
        }
        long untilPeriod = nextPeriodAtNanos - nowNanos;
        long untilOverdue = view.nanosUntilOverdue(nowNanos, untilPeriod);
        return detector.nanosUntilDue(nowNanos, untilOverdue);
    }
}
