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
 * A member of a SWIM group, as a state machine: its inputs are datagrams and timer calls, its outputs datagrams and
 * changes of members.
 *
 * <p>Each member probes one other member per period, directly and then through other members. A member that does not
 * answer becomes SUSPECT and may refute until the suspicion time-out, when it becomes DEAD. Updates are piggybacked
 * on the probes. When digests differ although no gossip is pending, members exchange their tables.
 *
 * <p>Invariants, in addition to those of {@link MembershipView} and {@link MemberTable}:
 *
 * <ul>
 *   <li><em>Own pauses prove nothing</em>: a process that was paused abandons its probes without a result, and
 *       restarts all its suspicions.
 *   <li><em>Determinism</em>: the output depends only on the inputs, their times and the random seed.
 * </ul>
 *
 * <p>Times are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class Swim {
    /** Fraction by which a period's length varies at random, so that not all members probe at the same time. */
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
     * Creates a member that has not joined yet.
     *
     * @param seeds addresses, IP:PORT, at which other members may be; the own address is ignored
     * @param randomSeed seed of the random choices, such as the order of probes; need not be secret
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
     * Handles a datagram. One that is not a valid message is counted and dropped; messages of this process itself are
     * ignored.
     *
     * @param from the sender's address, IP:PORT, to which responses go
     */
    public SwimStep onDatagram(String from, byte[] datagram, long nowNanos) {
        detectPause(nowNanos);
        Optional<SwimMessage> message = SwimCodec.decode(datagram);
        if (message.isEmpty()) {
            droppedDatagrams++;
        } else if (!lifecycle.hasLeft() && !isOwn(message.get())) {
            messages.onMessage(from, message.get(), nowNanos);
        }
        return step(nowNanos);
    }

    /**
     * Performs everything that is due. Call it once to start, and then at each step's {@link SwimStep#wakeUpAtNanos};
     * an earlier call is harmless.
     */
    public SwimStep onTimer(long nowNanos) {
        detectPause(nowNanos);
        if (!lifecycle.hasLeft()) {
            view.declareOverdueDead(nowNanos);
            detector.onTimer(nowNanos);
            if (nowNanos - nextPeriodAtNanos >= 0) {
                beginPeriod(nowNanos);
            }
        }
        return step(nowNanos);
    }

    /** Leaves the group: announces it to some members. After that this member neither sends nor changes anything. */
    public SwimStep leave(long nowNanos) {
        if (lifecycle.on(MembershipLifecycle.Event.LEAVE_REQUESTED)) {
            view.leave();
            messages.announce();
            detector.abandonProbes();
        }
        return step(nowNanos);
    }

    /** Returns whether a message of another member was received since the start; false after {@link #leave}. */
    public boolean joined() {
        return lifecycle.hasJoined();
    }

    /** This member's own process. */
    public MemberInfo own() {
        return view.ownUpdate().info();
    }

    /** Returns the live members without this one, in no order. */
    public List<MemberInfo> members() {
        List<MemberInfo> live = new ArrayList<>();
        for (MemberRecord record : view.table().records()) {
            if (record.state().isLive()) {
                live.add(record.info());
            }
        }
        return live;
    }

    /** Returns the member's state in this local view, empty if the member is not known. */
    public Optional<MemberState> stateOf(String name) {
        return Optional.ofNullable(view.table().findByName(name)).map(MemberRecord::state);
    }

    /** Returns the number of datagrams since the start that were not valid messages. */
    public long droppedDatagrams() {
        return droppedDatagrams;
    }

    /** Returns the number of members since the start that were rejected because the table was full. */
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

    /**
     * Detects a pause: a call that comes much too late shows that this process was paused, not that others do not
     * respond.
     */
    private void detectPause(long nowNanos) {
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
