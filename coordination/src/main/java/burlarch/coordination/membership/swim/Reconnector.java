package burlarch.coordination.membership.swim;

import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberState;
import java.util.List;
import java.util.Random;

/**
 * The reconnection to members that are not probed because they are unknown or dead here: at the start through the
 * seeds, later so that the sides of a healed partition find each other. All live members together try a bounded
 * number of addresses per period.
 */
final class Reconnector {
    /** Number of dead members, and of contact points, that all live members together try per period. */
    private static final int ATTEMPTS_PER_PERIOD = 4;

    private static final int STARTUP_PERIODS = 20;

    private final SwimSettings settings;
    private final MembershipView view;
    private final OutgoingDatagrams outgoing;
    private final FailureDetector detector;
    private final MembershipLifecycle lifecycle;
    private final ContactPoints contactPoints;
    private final Random random;
    private final long startedAtNanos;

    Reconnector(
            SwimSettings settings,
            MembershipView view,
            OutgoingDatagrams outgoing,
            FailureDetector detector,
            MembershipLifecycle lifecycle,
            ContactPoints contactPoints,
            Random random,
            long nowNanos) {
        this.settings = settings;
        this.view = view;
        this.outgoing = outgoing;
        this.detector = detector;
        this.lifecycle = lifecycle;
        this.contactPoints = contactPoints;
        this.random = random;
        startedAtNanos = nowNanos;
    }

    /** Tries some contact points and dead members. Called once per probe period. */
    void onPeriod(long nowNanos) {
        for (String address : view.forgetEnded(nowNanos)) {
            contactPoints.addLost(address);
        }
        tryContactPoints(nowNanos);
        pingDeadMembers();
    }

    /** Records that a member became live in the view. */
    void onAppeared(MemberInfo member) {
        contactPoints.removeLost(member.address());
    }

    /**
     * Tries contact points: at the start all of them in each period, later one, with a probability that keeps all
     * members together within {@link #ATTEMPTS_PER_PERIOD}.
     */
    private void tryContactPoints(long nowNanos) {
        boolean starting = nowNanos - startedAtNanos < STARTUP_PERIODS * settings.probePeriodNanos();
        if (!starting && random.nextDouble() * (view.table().liveCount() + 1) >= ATTEMPTS_PER_PERIOD) {
            return;
        }
        int attempts = starting ? contactPoints.size() : 1;
        for (int i = 0; i < attempts; i++) {
            tryContactPoint(contactPoints.next());
        }
    }

    private void tryContactPoint(String address) {
        if (address == null || isAddressOfLiveMember(address)) {
            return;
        }
        if (lifecycle.hasJoined()) {
            outgoing.ping(address, detector.nextSequence(), 0, view.ownUpdate());
        } else {
            outgoing.syncRequest(address);
        }
    }

    /**
     * Pings some dead members with the update about them, which they need to refute it after a partition has healed.
     */
    private void pingDeadMembers() {
        List<MemberRecord> ended = view.table().ended();
        double ownAttempts =
                (double) ATTEMPTS_PER_PERIOD * ended.size() / (view.table().liveCount() + 1);
        int attempts = (int) (Math.min(ATTEMPTS_PER_PERIOD, ownAttempts) + random.nextDouble());
        for (int i = 0; i < attempts && !ended.isEmpty(); i++) {
            MemberRecord record = ended.get(random.nextInt(ended.size()));
            if (record.state() == MemberState.DEAD) {
                MemberInfo info = record.info();
                outgoing.ping(info.address(), detector.nextSequence(), info.processId(), record.update);
            }
        }
    }

    private boolean isAddressOfLiveMember(String address) {
        for (MemberRecord record : view.table().records()) {
            if (record.state().isLive() && record.info().address().equals(address)) {
                return true;
            }
        }
        return false;
    }
}
